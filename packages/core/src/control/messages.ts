/** Schemas of the operators' HTTP interface, shared by the daemon and the command line. */
import { z } from "zod";
import { issueSchema } from "../issue.js";
import { rowSchema } from "../table/row.js";

const offset = z.number().int().nonnegative();

/** Schema of a row with the revision (offset of the record) that last changed it. */
export const revisedRowSchema = z.object({ key: z.string(), revision: offset, row: rowSchema });

/** Schema of the answer to `GET /control/v1/table`. */
export const tableResponseSchema = z.object({ nextOffset: offset, rows: z.array(revisedRowSchema) });

/** Schema of one edit. Without `row` it deletes. `baseRevision` is 0 for a row that does not exist. */
export const editRequestSchema = z.strictObject({
    id: z.string().min(1).max(200),
    key: z.string().min(1),
    baseRevision: offset,
    row: rowSchema.optional(),
});

/** Schema of the body of `POST /control/v1/table/edits`. */
export const editsRequestSchema = z.strictObject({
    edits: z.array(editRequestSchema).min(1).max(1000),
    wait: z.enum(["accepted", "everywhere"]).default("accepted"),
});

/**
 * Schema of what became of one edit. `undecided`: the log did not answer in time, so the edit may still take effect;
 * send it again with the same id to learn more.
 */
export const editResultSchema = z.object({
    id: z.string(),
    key: z.string(),
    result: z.enum(["accepted", "rejected", "refused", "undecided"]),
    revision: offset.optional(),
    issue: issueSchema.optional(),
    retryAfterMilliseconds: z.number().optional(),
});

/** Schema of the answer to `POST /control/v1/table/edits`. `missing` names live daemons that do not have it in force. */
export const editsResponseSchema = z.object({
    results: z.array(editResultSchema),
    inForceOn: z.array(z.string()),
    missing: z.array(z.string()),
});

/** Schema of one line of the table's history. */
export const historyEntrySchema = z.object({
    offset,
    time: z.number(),
    id: z.string(),
    author: z.string(),
    operator: z.string().optional(),
    key: z.string(),
    change: z.enum(["set", "delete"]),
    result: z.enum(["accepted", "rejected", "unknown"]),
    row: rowSchema.optional(),
});

/** Schema of the answer to `GET /control/v1/table/history`. */
export const historyResponseSchema = z.object({ firstOffset: offset, entries: z.array(historyEntrySchema) });

/** Schema of the state of one followed stream. `ageMilliseconds` counts from the newest successful read. */
export const streamStatusSchema = z.object({
    stream: z.string(),
    nextOffset: offset,
    platformReachable: z.boolean(),
    source: z.string(),
    ageMilliseconds: z.number(),
    halted: z.string().optional(),
});

/** Schema of the status of one daemon. */
export const daemonStatusSchema = z.object({
    daemon: z.string(),
    dataCentre: z.string(),
    incarnation: z.string(),
    state: z.enum(["starting", "ready", "draining"]),
    /** Next offset of the configuration in force. */
    configurationOffset: offset,
    requestsInProgress: z.number().int().nonnegative(),
    streams: z.array(streamStatusSchema),
    /** Daemons that this one cannot reach, and `platform` if it cannot reach that. */
    cannotReach: z.array(z.string()),
});

/** Schema of the answer to `GET /control/v1/status`. */
export const statusResponseSchema = z.object({
    daemons: z.array(daemonStatusSchema),
    unreachable: z.array(z.string()),
});

/** Schema of one host as the daemon sees it. */
export const hostStatusSchema = z.object({
    host: z.string(),
    dataCentre: z.string(),
    fabricDomain: z.string(),
    listed: z.enum(["live", "leaving", "absent"]),
    tableState: z.enum(["active", "draining"]),
    group: z.string().optional(),
    reported: z.string().optional(),
    reportAgeMilliseconds: z.number().optional(),
});

/** Schema of one group as the daemon sees it. */
export const groupStatusSchema = z.object({
    group: z.string(),
    model: z.string(),
    version: z.string(),
    fence: offset,
    holder: z.string(),
    leader: z.string(),
    members: z.array(z.string()),
    dispatchable: z.boolean(),
    reason: z.string().optional(),
});

/** Schema of the answer to `GET /control/v1/hosts`. */
export const hostsResponseSchema = z.object({ hosts: z.array(hostStatusSchema) });
/** Schema of the answer to `GET /control/v1/groups`. */
export const groupsResponseSchema = z.object({ groups: z.array(groupStatusSchema) });

/** Row with its revision. */
export type RevisedRow = z.infer<typeof revisedRowSchema>;
/** Table with the offset below which it is in force. */
export type TableResponse = z.infer<typeof tableResponseSchema>;
/** One edit. */
export type EditRequest = z.infer<typeof editRequestSchema>;
/** Edits to make. */
export type EditsRequest = z.infer<typeof editsRequestSchema>;
/** What became of one edit. */
export type EditResult = z.infer<typeof editResultSchema>;
/** What became of all edits. */
export type EditsResponse = z.infer<typeof editsResponseSchema>;
/** One line of the history. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>;
/** History of the table. */
export type HistoryResponse = z.infer<typeof historyResponseSchema>;
/** Status of one daemon. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
/** Status of all daemons. */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
/** One host. */
export type HostStatus = z.infer<typeof hostStatusSchema>;
/** One group. */
export type GroupStatus = z.infer<typeof groupStatusSchema>;
