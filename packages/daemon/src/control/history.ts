/** History of the table, read from the retained entries of the configuration stream. */
import { editSchema, type Entry, type HistoryEntry, type HistoryResponse, recordSchema } from "@damaskvale/core";
import type { ControlOptions } from "./types.js";

const PAGE_ENTRIES = 500;
const MAXIMUM_PAGES = 20;

/**
 * Reads the retained edits, oldest first. The result of an edit is `unknown` if its decision is no longer retained.
 * Throws if the log cannot be read.
 */
export async function readHistory(options: ControlOptions): Promise<HistoryResponse> {
    const entries: Entry[] = [];
    let firstOffset: number | undefined;
    let from = 0;
    for (let page = 0; page < MAXIMUM_PAGES; page += 1) {
        const read = await options.platformLog.read("configuration", from, {
            limit: PAGE_ENTRIES,
            waitMilliseconds: 0,
        });
        if (read.err) {
            throw new Error(read.val.message);
        }
        firstOffset ??= read.val.firstOffset;
        entries.push(...read.val.entries);
        const last = read.val.entries.at(-1);
        if (last === undefined || last.offset + 1 >= read.val.nextOffset) {
            break;
        }
        from = last.offset + 1;
    }
    return { firstOffset: firstOffset ?? 0, entries: entries.flatMap(entry => describeEntry(options, entry)) };
}

function describeEntry(options: ControlOptions, entry: Entry): HistoryEntry[] {
    const record = recordSchema.safeParse(entry.value);
    const body = editSchema.safeParse(record.data?.body);
    if (!record.success || !body.success) {
        return [];
    }
    const { id, author } = record.data;
    const { key, row, operator } = body.data;
    const decision = options.configuration.folded.current().decisions.get(id);
    const result = decision === undefined
        ? "unknown"
        : decision.accepted && decision.offset === entry.offset
        ? "accepted"
        : "rejected";
    return [{
        offset: entry.offset,
        time: entry.time,
        id,
        author: author.daemon,
        operator,
        key,
        change: row === undefined ? "delete" : "set",
        result,
        row,
    }];
}
