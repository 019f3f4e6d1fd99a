/** Differences between two tables. */
import { canonicalText } from "../stream/canonical.js";
import type { Row, RowKey } from "./row.js";

/** Difference in one row. `columns` lists the columns of a changed row that differ. */
export type RowDifference =
    | { readonly kind: "added"; readonly key: RowKey; readonly after: Row; }
    | { readonly kind: "removed"; readonly key: RowKey; readonly before: Row; }
    | {
        readonly kind: "changed";
        readonly key: RowKey;
        readonly before: Row;
        readonly after: Row;
        readonly columns: readonly string[];
    };

interface KeyedRow {
    readonly key: RowKey;
    readonly row: Row;
}

/** Compares two tables, ignoring revisions. Returns the differences in key order. */
export function diffTables(before: readonly KeyedRow[], after: readonly KeyedRow[]): RowDifference[] {
    const oldRows = new Map(before.map(({ key, row }) => [key, row]));
    const newRows = new Map(after.map(({ key, row }) => [key, row]));
    return [...new Set([...oldRows.keys(), ...newRows.keys()])].sort().flatMap(key =>
        compareRow(key, oldRows.get(key), newRows.get(key))
    );
}

function compareRow(key: RowKey, before: Row | undefined, after: Row | undefined): RowDifference[] {
    if (before === undefined) {
        return after === undefined ? [] : [{ kind: "added", key, after }];
    }
    if (after === undefined) {
        return [{ kind: "removed", key, before }];
    }
    const left: Readonly<Record<string, unknown>> = before;
    const right: Readonly<Record<string, unknown>> = after;
    const columns = [...new Set([...Object.keys(left), ...Object.keys(right)])]
        .filter(column => canonicalText([left[column]]) !== canonicalText([right[column]]));
    return columns.length === 0 ? [] : [{ kind: "changed", key, before, after, columns }];
}
