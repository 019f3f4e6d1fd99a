/** Schemas of the operators' HTTP interface, shared by the daemon and the command-line interface. */
import { z } from "zod";
import { issueSchema } from "../issue.js";
import { rowSchema } from "../table/row.js";

const offset = z.number().int().nonnegative();

/** Schema of a row with the revision of its last change. */
export const revisedRowSchema = z.object({ key: z.string(), revision: offset, row: rowSchema });

/** Schema of the response to `GET /control/v1/table`. */
export const tableResponseSchema = z.object({ nextOffset: offset, rows: z.array(revisedRowSchema) });

/** Schema of one edit. An edit without `row` deletes the row. `baseRevision` is 0 for a row that does not exist. */
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
 * Schema of the result of one edit. `undecided` means that the log did not respond in time, so the edit may still take
 * effect. Send it again with the same id to find out.
 */
export const editResultSchema = z.object({
    id: z.string(),
    key: z.string(),
    result: z.enum(["accepted", "rejected", "refused", "undecided"]),
    revision: offset.optional(),
    issue: issueSchema.optional(),
    retryAfterMilliseconds: z.number().optional(),
});

/** Schema of the response to `POST /control/v1/table/edits`. `missing` lists live daemons that lack the edits. */
export const editsResponseSchema = z.object({
    results: z.array(editResultSchema),
    inForceOn: z.array(z.string()),
    missing: z.array(z.string()),
});

/** Schema of one entry of the table's history. */
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

/** Schema of the response to `GET /control/v1/table/history`. */
export const historyResponseSchema = z.object({ firstOffset: offset, entries: z.array(historyEntrySchema) });

/** Schema of the status of one followed stream. `ageMilliseconds` is the time since the last successful read. */
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
    /** Daemons that this daemon cannot reach, and `platform` if it cannot reach the platform. */
    cannotReach: z.array(z.string()),
});

/** Schema of the response to `GET /control/v1/status`. */
export const statusResponseSchema = z.object({
    daemons: z.array(daemonStatusSchema),
    unreachable: z.array(z.string()),
});

/** Schema of the status of one host as the daemon knows it. */
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

/** Schema of the status of one group as the daemon knows it. */
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

/** Schema of the response to `GET /control/v1/hosts`. */
export const hostsResponseSchema = z.object({ hosts: z.array(hostStatusSchema) });
/** Schema of the response to `GET /control/v1/groups`. */
export const groupsResponseSchema = z.object({ groups: z.array(groupStatusSchema) });

/** Row with its revision. */
export type RevisedRow = z.infer<typeof revisedRowSchema>;
/** Rows of the table. `nextOffset` is the offset up to which the log has been applied. */
export type TableResponse = z.infer<typeof tableResponseSchema>;
/** One edit. */
export type EditRequest = z.infer<typeof editRequestSchema>;
/** Request with edits of the table. */
export type EditsRequest = z.infer<typeof editsRequestSchema>;
/** Result of one edit. */
export type EditResult = z.infer<typeof editResultSchema>;
/** Results of all edits. */
export type EditsResponse = z.infer<typeof editsResponseSchema>;
/** One entry of the table's history. */
export type HistoryEntry = z.infer<typeof historyEntrySchema>;
/** History of the table. */
export type HistoryResponse = z.infer<typeof historyResponseSchema>;
/** Status of one daemon. */
export type DaemonStatus = z.infer<typeof daemonStatusSchema>;
/** Status of all daemons. */
export type StatusResponse = z.infer<typeof statusResponseSchema>;
/** Status of one host. */
export type HostStatus = z.infer<typeof hostStatusSchema>;
/** Status of one group. */
export type GroupStatus = z.infer<typeof groupStatusSchema>;
