/** Fold of the operators' table. An edit is conditional on the revision of its row. */
import { Map as PersistentMap, OrderedMap } from "immutable";
import { z } from "zod";
import { type Issue, issue } from "../issue.js";
import { authorSchema } from "../stream/record.js";
import type { FoldDefinition, RecordContext, RecordResult } from "../stream/types.js";
import { BASIS_WINDOW } from "../stream/window.js";
import { type RowKey, rowKey, rowSchema } from "./row.js";

const keySchema = z.string().regex(/^(model|team|target|rule|service|call):[a-z0-9][a-z0-9._-]{0,62}$/);
const revision = z.number().int().nonnegative();
const operatorName = z.string().min(1).max(63).optional();
const changeSchema = z.object({ revision, author: authorSchema, id: z.string(), operator: operatorName });
const tableEntrySchema = changeSchema.extend({ key: z.string(), row: rowSchema });

/**
 * Schema of the body of an edit. An edit without a row deletes the row. `baseRevision` is 0 for a row that does not
 * exist. `operator` is the person who made the edit, so that a conflict can name that person.
 */
export const editSchema = z.object({
    kind: z.literal("edit"),
    key: keySchema,
    baseRevision: revision,
    row: rowSchema.optional(),
    operator: operatorName,
});

/** Body of an edit. */
export type Edit = z.infer<typeof editSchema>;
/** Last change of a row. The revision is the offset of the record plus 1, so that 0 can mean an absent row. */
export type RowChange = z.infer<typeof changeSchema>;
/** Row in force, with its last change. */
export type TableEntry = z.infer<typeof tableEntrySchema>;

/** State of the table. Deletions are retained for `BASIS_WINDOW` offsets, so that a conflict can name the winner. */
export interface TableState {
    readonly rows: PersistentMap<RowKey, TableEntry>;
    readonly deletions: OrderedMap<RowKey, RowChange>;
}

const serializedSchema = z.object({
    rows: z.array(tableEntrySchema),
    deletions: z.array(z.tuple([z.string(), changeSchema])),
});

/** Fold of the stream `configuration`. */
export const tableFold: FoldDefinition<TableState, Edit> = {
    name: "configuration",
    body: editSchema,
    state: serializedSchema.transform(({ rows, deletions }) =>
        makeState(PersistentMap(rows.map(entry => [entry.key, entry] as const)), OrderedMap(deletions))
    ),
    initial: () => makeState(PersistentMap(), OrderedMap()),
    apply: applyEdit,
};

/** Returns the rows in force in key order. */
export function tableEntries(state: TableState): TableEntry[] {
    return [...state.rows.values()].sort((left, right) => left.key < right.key ? -1 : 1);
}

function makeState(rows: TableState["rows"], deletions: TableState["deletions"]): TableState {
    const state = { rows, deletions };
    const toJSON = () => ({ rows: tableEntries(state), deletions: [...deletions] });
    return Object.defineProperty(state, "toJSON", { value: toJSON, enumerable: false });
}

function applyEdit(state: TableState, edit: Edit, context: RecordContext): RecordResult<TableState> {
    const current = state.rows.get(edit.key);
    if (edit.row !== undefined && rowKey(edit.row) !== edit.key) {
        return rejected(issue("key_mismatch", ["key"], `${edit.key} is not the key of row ${rowKey(edit.row)}`));
    }
    if ((current?.revision ?? 0) !== edit.baseRevision) {
        return rejected(conflictIssue(edit, current ?? state.deletions.get(edit.key)));
    }
    if (edit.row === undefined && current === undefined) {
        return rejected(issue("row_absent", ["key"], `${edit.key} does not exist`));
    }
    const change = { revision: context.offset + 1, author: context.author, id: context.id, operator: edit.operator };
    const rows = edit.row === undefined
        ? state.rows.delete(edit.key)
        : state.rows.set(edit.key, { ...change, key: edit.key, row: edit.row });
    const others = removeExpired(state.deletions, context.offset).delete(edit.key);
    return {
        kind: "accepted",
        state: makeState(rows, edit.row === undefined ? others.set(edit.key, change) : others),
    };
}

function removeExpired(deletions: TableState["deletions"], offset: number): TableState["deletions"] {
    return deletions.skipWhile(change => change.revision + BASIS_WINDOW < offset);
}

function rejected(cause: Issue): RecordResult<TableState> {
    return { kind: "rejected", issue: cause };
}

function conflictIssue(edit: Edit, winner: RowChange | undefined): Issue {
    const reason = winner === undefined
        ? "the row does not exist"
        : `${winnerName(winner)} changed the row first with record ${winner.id} at offset ${winner.revision - 1}`;
    return issue("edit_conflict", ["baseRevision"], `${edit.key} is not at revision ${edit.baseRevision}: ${reason}`);
}

function winnerName({ operator, author }: RowChange): string {
    return operator === undefined ? author.daemon : `${operator} (through ${author.daemon})`;
}
