/** Reads and writes the table as CSV for spreadsheets: one line per row of the table, with the columns of all kinds. */
import { type Info, parse } from "csv-parse/sync";
import { stringify } from "csv-stringify/sync";
import { Err, Ok, type Result } from "ts-results";
import { type Issue, issue, IssuesError, issuesFromZod, type Place } from "../issue.js";
import type { TableEntry } from "./fold.js";
import { type Row, type RowKey, rowKey, rowSchema } from "./row.js";

/** Row of a table file. `revision` is 0 for a row that is not in force. `line` counts from 1 including the header. */
export interface FileRow {
    readonly key: RowKey;
    readonly revision: number;
    readonly row: Row;
    readonly line: number;
}

/** Type of the cells of a column. Items of a list are separated by spaces. */
export type ColumnType = "text" | "number" | "list";

/** Columns in order. The revision ensures that an edited file is applied only to the revisions it was exported from. */
const columnTypes = {
    kind: "text",
    name: "text",
    revision: "number",
    version: "text",
    members: "number",
    replicas: "number",
    dataCentres: "list",
    spares: "number",
    downtimeWeight: "number",
    strandedWeight: "number",
    keyHashes: "list",
    models: "list",
    services: "list",
    weight: "number",
    requestsPerSecond: "number",
    tokensPerSecond: "number",
    concurrency: "number",
    queueLength: "number",
    state: "text",
    fencing: "text",
    model: "text",
    team: "text",
    target: "text",
    urls: "list",
    dataCentre: "text",
    timeoutMilliseconds: "number",
    service: "text",
    method: "text",
    path: "text",
    repeatable: "text",
} as const satisfies Record<string, ColumnType>;

type Column = keyof typeof columnTypes;
const columns = Object.keys(columnTypes) as Column[];
const kinds = new Map(rowSchema.options.map(option => [option.shape.kind.value as string, option]));

/** Returns the type of the cells of a column, or `undefined` if there is no such column. */
export function columnTypeOf(name: string): ColumnType | undefined {
    return isColumn(name) ? columnTypes[name] : undefined;
}

/** Matches a cell that a spreadsheet would run as a formula, also after white space, or that starts with a quote. */
const FORMULA_CELL = /^\s*[=+\-@＝＋－＠'\t\r]/;

/** Formats rows as CSV. `parseTable` returns exactly the same rows. */
export function formatTable(entries: readonly Pick<TableEntry, "row" | "revision">[]): string {
    const records = entries.map(({ row, revision }) => {
        const fields: Readonly<Record<string, unknown>> = { ...row, revision };
        return columns.map(column => formatCell(fields[column]));
    });
    return stringify([columns, ...records], { quoted_match: /[;\r\n]/ });
}

/**
 * Parses the rows of a file. The delimiter is a comma, or a semicolon if the header contains semicolons but no comma,
 * as spreadsheets in Germany and South Africa write it. Returns all issues together.
 */
export function safeParseTable(text: string, file = "table.csv"): Result<FileRow[], Issue[]> {
    const lines = readLines(text, file);
    if (lines.err) {
        return Err(lines.val);
    }
    const [header = [], ...records] = lines.val;
    const headerIssues = checkHeader(header, file);
    const rowResults = records.map((cells, index) => parseRow(header, cells, { file, row: index + 2 }));
    const issues = [...headerIssues, ...rowResults.flatMap(result => result.err ? result.val : [])];
    return issues.length === 0 ? Ok(rowResults.flatMap(result => result.ok ? [result.val] : [])) : Err(issues);
}

/** Parses the rows of a file, or throws an `IssuesError` with all issues. */
export function parseTable(text: string, file?: string): FileRow[] {
    const result = safeParseTable(text, file);
    if (result.err) {
        throw new IssuesError(result.val);
    }
    return result.val;
}

function readLines(text: string, file: string): Result<string[][], Issue[]> {
    const header = text.split(/\r?\n/, 1)[0] ?? "";
    const delimiter = header.includes(";") && !header.includes(",") ? ";" : ",";
    try {
        return Ok(parse(text, { bom: true, delimiter, relax_column_count: true, skip_empty_lines: true }));
    }
    catch (error) {
        const { message, records } = error as Error & Partial<Info>;
        const place = { file, row: (records ?? 0) + 1 };
        return Err([issue("invalid_csv", [], message, place)]);
    }
}

function checkHeader(header: readonly string[], file: string): Issue[] {
    const required: Column[] = ["kind", "name"];
    const place = (column: string) => ({ file, row: 1, column });
    return [
        ...header.filter(column => !isColumn(column))
            .map(column => issue("unknown_column", [], `there is no column "${column}"`, place(column))),
        ...header.filter((column, index) => header.indexOf(column) !== index)
            .map(column => issue("duplicate_column", [], `column "${column}" appears twice`, place(column))),
        ...required.filter(column => !header.includes(column))
            .map(column => issue("missing_column", [], `column "${column}" is missing`, place(column))),
    ];
}

function parseRow(header: readonly string[], cells: readonly string[], place: Place): Result<FileRow, Issue[]> {
    const filledCells = cells.flatMap((cell, index) => cell === "" ? [] : [{ column: header[index], cell }]);
    const values = Object.fromEntries(
        filledCells.flatMap(({ column, cell }) =>
            column !== undefined && isColumn(column) ? [[column, parseCell(columnTypes[column], cell)]] : []
        ),
    );
    const { revision = 0, ...fields } = values;
    const kindSchema = kinds.get(String(fields["kind"]));
    const unexpectedCells = filledCells.flatMap(({ column, cell }) =>
        column === undefined
            ? [issue("surplus_cell", [], `"${cell}" is in no column`, place)]
            : kindSchema !== undefined && isColumn(column) && column !== "revision" && !(column in kindSchema.shape)
            ? [issue("unused_column", [column], `a ${fields["kind"]} has no "${column}"`, { ...place, column })]
            : []
    );
    const revisionIssues = Number.isInteger(revision) && Number(revision) >= 0
        ? []
        : [issue("invalid_revision", ["revision"], "must be a whole number", { ...place, column: "revision" })];
    const row = rowSchema.safeParse(fields);
    const issues = [
        ...unexpectedCells,
        ...revisionIssues,
        ...(row.success
            ? []
            : issuesFromZod(row.error).map(rowIssue => ({
                ...rowIssue,
                place: { ...place, column: String(rowIssue.path[0] ?? "") },
            }))),
    ];
    return row.success && issues.length === 0
        ? Ok({ key: rowKey(row.data), revision: Number(revision), row: row.data, line: place.row ?? 0 })
        : Err(issues);
}

function isColumn(name: string): name is Column {
    return Object.hasOwn(columnTypes, name);
}

function formatCell(value: unknown): string {
    const text = Array.isArray(value) ? value.map(item => escapeItem(String(item))).join(" ") : String(value ?? "");
    return FORMULA_CELL.test(text) ? `'${text}` : text;
}

function parseCell(type: ColumnType, cell: string): unknown {
    const text = cell.startsWith("'") && FORMULA_CELL.test(cell.slice(1)) ? cell.slice(1) : cell;
    const parsers: Record<ColumnType, () => unknown> = {
        text: () => text,
        // A cell of white space is no number; `Number` would read 0.
        number: () => text.trim() === "" ? Number.NaN : Number(text),
        list: () => text.split(" ").filter(item => item !== "").map(unescapeItem),
    };
    return parsers[type]();
}

/** Items of a list are separated by spaces, so a space within an item is escaped as `\s`. */
function escapeItem(item: string): string {
    return item.replaceAll("\\", "\\\\").replaceAll(" ", "\\s");
}

function unescapeItem(item: string): string {
    return item.replace(/\\[\\s]/g, pair => pair === "\\s" ? " " : "\\");
}
