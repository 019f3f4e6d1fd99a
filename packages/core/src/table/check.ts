/** Validation across the rows of a table, which the schemas of single rows cannot do. */
import { groupBy } from "../group.js";
import { type Issue, issue, type Place } from "../issue.js";
import { rowsOfKind, scopeOf } from "./lookup.js";
import type { Row, RowKind, RowOf } from "./row.js";

/** Row to check. `line` is its line in the file, counted from 1 including the header. */
export interface CheckedRow {
    readonly key: string;
    readonly row: Row;
    readonly line?: number;
}

/** Checks rows against each other. If `file` is given, each issue names the file, row and column. */
export function checkTable(rows: readonly CheckedRow[], file?: string): Issue[] {
    return [
        ...findDuplicates(rows, file, "duplicate_key", "name", ({ key }) => [key]),
        ...findDuplicates(
            rows,
            file,
            "duplicate_key_hash",
            "keyHashes",
            ({ row }) => row.kind === "team" ? row.keyHashes : [],
        ),
        ...findDuplicates(
            rows,
            file,
            "duplicate_rule",
            "target",
            ({ row }) => row.kind === "rule" ? [scopeOf(row.model, row.team, row.target)] : [],
        ),
        ...findDuplicates(
            rows,
            file,
            "duplicate_call",
            "path",
            ({ row }) => row.kind === "call" ? [`${row.service} ${row.method} ${row.path}`] : [],
        ),
        ...references.flatMap(reference => findUnknownNames(rows, file, reference)),
    ];
}

interface Reference {
    readonly column: string;
    readonly to: RowKind;
    readonly names: (row: Row) => readonly string[];
}

const createReference = <Kind extends RowKind>(
    kind: Kind,
    column: string,
    to: RowKind,
    names: (row: RowOf<Kind>) => readonly string[],
): Reference => ({ column, to, names: row => row.kind === kind ? names(row as RowOf<Kind>) : [] });

/** References between rows. The target of a rule is not checked, because hosts come from the platform's list. */
const references: readonly Reference[] = [
    createReference("team", "models", "model", team => team.models),
    createReference("team", "services", "service", team => team.services),
    createReference("rule", "model", "model", rule => [rule.model]),
    createReference("rule", "team", "team", rule => [rule.team]),
    createReference("call", "service", "service", call => [call.service]),
];

function findUnknownNames(rows: readonly CheckedRow[], file: string | undefined, reference: Reference): Issue[] {
    const known = new Set(["*", ...rowsOfKind(rows.map(({ row }) => row), reference.to).map(({ name }) => name)]);
    return rows.flatMap(checkedRow =>
        reference.names(checkedRow.row).filter(name => !known.has(name)).map(name =>
            issue(
                `unknown_${reference.to}`,
                [checkedRow.key, reference.column],
                `${reference.to} "${name}" is not in the table`,
                issuePlace(checkedRow, file, reference.column),
            )
        )
    );
}

function findDuplicates(
    rows: readonly CheckedRow[],
    file: string | undefined,
    code: string,
    column: string,
    values: (row: CheckedRow) => readonly string[],
): Issue[] {
    const usages = rows.flatMap(row => values(row).map(value => ({ row, value })));
    return [...groupBy(usages, ({ value }) => value).values()].flatMap(([first, ...others]) =>
        others.map(({ row, value }) =>
            issue(
                code,
                [row.key, column],
                `"${value}" is also in ${describe(first?.row ?? row)}`,
                issuePlace(row, file, column),
            )
        )
    );
}

function describe({ key, line }: CheckedRow): string {
    return line === undefined ? key : `row ${line}`;
}

function issuePlace({ line }: CheckedRow, file: string | undefined, column: string): Place | undefined {
    return file === undefined ? undefined : { file, column, ...(line === undefined ? {} : { row: line }) };
}
