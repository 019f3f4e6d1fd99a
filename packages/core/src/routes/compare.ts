/** Differences between two versions of the configuration, by entry. Keys of teams are secrets and are only counted. */
import type { RelayConfiguration } from "./types.js";

/** A field that differs, with its values before and after. */
export interface FieldDifference {
    readonly field: string;
    readonly before?: unknown;
    readonly after?: unknown;
}

/** An entry that differs between two versions. */
export interface ConfigurationDifference {
    readonly kind: "added" | "removed" | "changed";
    /** Kind and name of the entry, for example `route status`. */
    readonly entry: string;
    /** Fields of a changed entry that differ. */
    readonly fields: readonly FieldDifference[];
}

type Fields = Readonly<Record<string, unknown>>;

/** Returns what the second version changes. */
export function compareConfigurations(
    before: RelayConfiguration,
    after: RelayConfiguration,
): readonly ConfigurationDifference[] {
    const [old, current] = [entriesOf(before), entriesOf(after)];
    const added = [...current.keys()].filter(entry => !old.has(entry))
        .map(entry => ({ kind: "added", entry, fields: [] }) as const);
    const remaining = [...old].flatMap(([entry, fields]): ConfigurationDifference[] => {
        const replacement = current.get(entry);
        if (replacement === undefined) {
            return [{ kind: "removed", entry, fields: [] }];
        }
        const changed = compareFields(fields, replacement);
        return changed.length === 0 ? [] : [{ kind: "changed", entry, fields: changed }];
    });
    return [...remaining, ...added, ...compareKeys(before, after)];
}

function compareFields(before: Fields, after: Fields): FieldDifference[] {
    return [...new Set([...Object.keys(before), ...Object.keys(after)])]
        .filter(field => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
        .map(field => ({ field, before: before[field], after: after[field] }));
}

/** Returns the entries by kind and name. Of entries with the same name, the last one counts. */
function entriesOf({ routes, services, teams, limits }: RelayConfiguration): ReadonlyMap<string, Fields> {
    const named = <Entry extends { readonly name: string; }>(kind: string, entries: readonly Entry[]) =>
        entries.map(({ name, ...fields }) => [`${kind} ${name}`, flatten(fields)] as const);
    return new Map([
        ...named("route", routes),
        ...named("service", services),
        ...named("team", (teams ?? []).map(({ name, priority }) => ({ name, priority }))),
        ["limits", flatten(limits)] as const,
        ["keys", { required: teams !== undefined }] as const,
    ]);
}

/** Flattens nested objects, so that a difference names the field that differs. Lists stay whole. */
function flatten(value: object, path = ""): Fields {
    return Object.fromEntries(
        Object.entries(value).flatMap(([name, field]: [string, unknown]) =>
            typeof field === "object" && field && !Array.isArray(field)
                ? Object.entries(flatten(field, `${path}${name}.`))
                : [[`${path}${name}`, field]]
        ),
    );
}

function compareKeys(before: RelayConfiguration, after: RelayConfiguration): ConfigurationDifference[] {
    const keysOf = (configuration: RelayConfiguration): ReadonlyMap<string, readonly string[]> =>
        new Map((configuration.teams ?? []).map(({ name, keys }) => [name, keys]));
    const old = keysOf(before);
    return [...keysOf(after)].flatMap(([name, keys]): ConfigurationDifference[] => {
        const known = old.get(name);
        const added = keys.filter(key => known?.includes(key) === false).length;
        const removed = (known ?? []).filter(key => !keys.includes(key)).length;
        const fields = [{ field: "keysAdded", after: added }, { field: "keysRemoved", after: removed }]
            .filter(({ after: count }) => count > 0);
        return fields.length === 0 ? [] : [{ kind: "changed", entry: `keys of team ${name}`, fields }];
    });
}
