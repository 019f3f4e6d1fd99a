/** Findings over several rows of a table, which the schemas of single rows cannot see. */
import { groupBy } from "../group.js";
import { type Issue, issue, type Place } from "../issue.js";
import { rowsOfKind, scopeOf } from "./lookup.js";
import type { Row, RowKind, RowOf } from "./row.js";

/** Row to check. `line` is its row in the file, counted from 1 with the header. */
export interface CheckedRow {
    readonly key: string;
    readonly row: Row;
    readonly line?: number;
}

/** Checks rows against each other. With `file`, each finding names the file, row and column. */
export function checkTable(rows: readonly CheckedRow[], file?: string): Issue[] {
    return [
        ...repeated(rows, file, "duplicate_key", "name", ({ key }) => [key]),
        ...repeated(
            rows,
            file,
            "duplicate_key_hash",
            "keyHashes",
            ({ row }) => row.kind === "team" ? row.keyHashes : [],
        ),
        ...repeated(
            rows,
            file,
            "duplicate_rule",
            "target",
            ({ row }) => row.kind === "rule" ? [scopeOf(row.model, row.team, row.target)] : [],
        ),
        ...repeated(
            rows,
            file,
            "duplicate_call",
            "path",
            ({ row }) => row.kind === "call" ? [`${row.service} ${row.method} ${row.path}`] : [],
        ),
        ...references.flatMap(reference => unknownNames(rows, file, reference)),
    ];
}

interface Reference {
    readonly column: string;
    readonly to: RowKind;
    readonly names: (row: Row) => readonly string[];
}

const refersTo = <Kind extends RowKind>(
    kind: Kind,
    column: string,
    to: RowKind,
    names: (row: RowOf<Kind>) => readonly string[],
): Reference => ({ column, to, names: row => row.kind === kind ? names(row as RowOf<Kind>) : [] });

/** A rule may name a host without a row, because hosts come from the platform's list; its target is not checked. */
const references: readonly Reference[] = [
    refersTo("team", "models", "model", team => team.models),
    refersTo("team", "services", "service", team => team.services),
    refersTo("rule", "model", "model", rule => [rule.model]),
    refersTo("rule", "team", "team", rule => [rule.team]),
    refersTo("call", "service", "service", call => [call.service]),
];

function unknownNames(rows: readonly CheckedRow[], file: string | undefined, reference: Reference): Issue[] {
    const known = new Set(["*", ...rowsOfKind(rows.map(({ row }) => row), reference.to).map(({ name }) => name)]);
    return rows.flatMap(checked =>
        reference.names(checked.row).filter(name => !known.has(name)).map(name =>
            issue(
                `unknown_${reference.to}`,
                [checked.key, reference.column],
                `${reference.to} "${name}" is not in the table`,
                placeOf(checked, file, reference.column),
            )
        )
    );
}

function repeated(
    rows: readonly CheckedRow[],
    file: string | undefined,
    code: string,
    column: string,
    values: (row: CheckedRow) => readonly string[],
): Issue[] {
    const uses = rows.flatMap(row => values(row).map(value => ({ row, value })));
    return [...groupBy(uses, ({ value }) => value).values()].flatMap(([first, ...others]) =>
        others.map(({ row, value }) =>
            issue(
                code,
                [row.key, column],
                `"${value}" is also in ${describe(first?.row ?? row)}`,
                placeOf(row, file, column),
            )
        )
    );
}

function describe({ key, line }: CheckedRow): string {
    return line === undefined ? key : `row ${line}`;
}

function placeOf({ line }: CheckedRow, file: string | undefined, column: string): Place | undefined {
    return file === undefined ? undefined : { file, column, ...(line === undefined ? {} : { row: line }) };
}
