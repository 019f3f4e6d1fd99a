/** Reads table files and compares them to the table in force. */
import {
    checkTable,
    diffTables,
    type EditRequest,
    type FileRow,
    type Issue,
    issue,
    type RevisedRow,
    type RowDifference,
    safeParseTable,
} from "@damaskvale/core";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { Err, Ok, type Result } from "ts-results";

/** Options of `planEdits`. */
export interface PlanOptions {
    /** Deletes rows that are not in the file. */
    readonly prune: boolean;
    /** Bases edits on the current revisions of the rows instead of the revisions in the file. */
    readonly current: boolean;
}

/** Reads a table file, and checks each row and the rows against each other. Returns all issues together. */
export function safeReadTableFile(file: string): Result<FileRow[], Issue[]> {
    const text = safeReadFile(file);
    if (text.err) {
        return Err([text.val]);
    }
    const rows = safeParseTable(text.val, file);
    if (rows.err) {
        return rows;
    }
    const findings = checkTable(rows.val, file);
    return findings.length === 0 ? rows : Err(findings);
}

/** Returns the changes that applying the file would make. Removed rows are included only with `prune`. */
export function findDifferences(
    inForce: readonly RevisedRow[],
    file: readonly FileRow[],
    prune: boolean,
): RowDifference[] {
    return diffTables(inForce, file).filter(({ kind }) => prune || kind !== "removed");
}

/** Returns the edits that apply the file, each based on the revision that the options select. */
export function planEdits(
    inForce: readonly RevisedRow[],
    file: readonly FileRow[],
    { prune, current }: PlanOptions,
): EditRequest[] {
    const inForceRevisions = new Map(inForce.map(({ key, revision }) => [key, revision]));
    const fileRevisions = new Map(file.map(({ key, revision }) => [key, revision]));
    return findDifferences(inForce, file, prune).map(difference => {
        const { key } = difference;
        const removed = difference.kind === "removed";
        const inForceRevision = inForceRevisions.get(key) ?? 0;
        const baseRevision = current || removed ? inForceRevision : fileRevisions.get(key) ?? 0;
        return { id: randomUUID(), key, baseRevision, ...(removed ? {} : { row: difference.after }) };
    });
}

/** Formats one difference as a line of text. */
export function formatDifference(difference: RowDifference): string {
    const formatters: {
        [Kind in RowDifference["kind"]]: (difference: Extract<RowDifference, { kind: Kind; }>) => string;
    } = {
        added: ({ key, after }) => `+ ${key} ${JSON.stringify(after)}`,
        removed: ({ key }) => `- ${key}`,
        changed: ({ key, before, after, columns }) => {
            const cell = (row: object, column: string) =>
                JSON.stringify((row as Record<string, unknown>)[column]) ?? "(empty)";
            return `~ ${key} ${
                columns.map(column => `${column}: ${cell(before, column)} -> ${cell(after, column)}`).join(", ")
            }`;
        },
    };
    const format = formatters[difference.kind] as (difference: RowDifference) => string;
    return format(difference);
}

function safeReadFile(file: string): Result<string, Issue> {
    try {
        return Ok(readFileSync(file, "utf8"));
    }
    catch (error) {
        return Err(issue("unreadable_file", [], (error as Error).message, { file }));
    }
}
