/** Lookups in the table by an index that is built once per change. */
import { groupBy } from "../group.js";
import type { TableEntry } from "./fold.js";
import type { Row, RowKey, RowKind, RowOf } from "./row.js";

/** Index of the rows of one table. */
export interface TableIndex {
    readonly byKey: ReadonlyMap<RowKey, Row>;
    readonly teamsByKeyHash: ReadonlyMap<string, RowOf<"team">>;
    /** Calls of a service, most specific first. */
    readonly callsByService: ReadonlyMap<string, readonly RowOf<"call">[]>;
    readonly rulesByScope: ReadonlyMap<string, RowOf<"rule">>;
}

/** Indexes rows. Of two rows with the same scope, the one with the lower key is used; `checkTable` reports both. */
export function indexTable(entries: readonly Pick<TableEntry, "key" | "row">[]): TableIndex {
    const descending = entries.toSorted((left, right) => left.key < right.key ? 1 : -1).map(({ row }) => row);
    const calls = rowsOfKind(descending, "call").sort(compareCalls);
    return {
        byKey: new Map(entries.map(({ key, row }) => [key, row])),
        teamsByKeyHash: new Map(
            rowsOfKind(descending, "team").flatMap(team => team.keyHashes.map(keyHash => [keyHash, team] as const)),
        ),
        callsByService: groupBy(calls, ({ service }) => service),
        rulesByScope: new Map(
            rowsOfKind(descending, "rule").map(rule => [scopeOf(rule.model, rule.team, rule.target), rule]),
        ),
    };
}

/** Returns the rows of one kind. */
export function rowsOfKind<Kind extends RowKind>(rows: readonly Row[], kind: Kind): RowOf<Kind>[] {
    return rows.filter((row): row is RowOf<Kind> => row.kind === kind);
}

/** Returns the row of a kind and a name. */
export function rowFor<Kind extends RowKind>(index: TableIndex, kind: Kind, name: string): RowOf<Kind> | undefined {
    return index.byKey.get(`${kind}:${name}`) as RowOf<Kind> | undefined;
}

/** Returns the team that owns the API key with this SHA-256 in hex. */
export function teamByKeyHash(index: TableIndex, keyHash: string): RowOf<"team"> | undefined {
    return index.teamsByKeyHash.get(keyHash);
}

/**
 * Returns the most specific matching call: the one with the longest path, then one with an exact method. A path matches
 * whole segments, so that `/stat` does not make `/statements` repeatable. `path` may include a query.
 */
export function callFor(
    index: TableIndex,
    service: string,
    method: string,
    path: string,
): RowOf<"call"> | undefined {
    const pathname = path.split("?", 1)[0] ?? path;
    return index.callsByService.get(service)?.find(call =>
        (call.method === "*" || call.method === method.toUpperCase()) && startsWithSegments(pathname, call.path)
    );
}

/** Returns the most specific matching rule: most names first, then target before team before model. */
export function ruleFor(index: TableIndex, model: string, team: string, target: string): RowOf<"rule"> | undefined {
    return [
        scopeOf(model, team, target),
        scopeOf("*", team, target),
        scopeOf(model, "*", target),
        scopeOf(model, team, "*"),
        scopeOf("*", "*", target),
        scopeOf("*", team, "*"),
        scopeOf(model, "*", "*"),
        scopeOf("*", "*", "*"),
    ].map(scope => index.rulesByScope.get(scope)).find(rule => rule !== undefined);
}

/** Returns a key that is equal for rules with the same scope. */
export function scopeOf(model: string, team: string, target: string): string {
    return `${model} ${team} ${target}`;
}

function startsWithSegments(pathname: string, prefix: string): boolean {
    return pathname === prefix || pathname.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}

function compareCalls(left: RowOf<"call">, right: RowOf<"call">): number {
    return right.path.length - left.path.length
        || Number(left.method === "*") - Number(right.method === "*")
        || (left.name < right.name ? -1 : 1);
}
