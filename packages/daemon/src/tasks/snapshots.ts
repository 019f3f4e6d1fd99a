/** Reads and writes the snapshots of one stream in the log. */
import {
    chunkSnapshot,
    completeSnapshots,
    type Entry,
    type Snapshot,
    SNAPSHOT_VERSION,
    type SnapshotChunk,
    snapshotStream,
} from "@damaskvale/core";
import { promisify } from "node:util";
import { gzip, gzipSync } from "node:zlib";
import type { PlatformLog } from "../ports/platformlog.js";

/** Snapshots of one stream in the log. */
export interface SnapshotStore {
    /** Returns the complete snapshots with an offset above `above`, newest first; `undefined` if the log fails. */
    load(above: number): Promise<readonly Snapshot[] | undefined>;
    /** Returns the highest offset of a complete snapshot, 0 if there is none; `undefined` if the log fails. */
    newestOffset(): Promise<number | undefined>;
    /** Appends all records of a snapshot. Returns whether all of them were accepted. */
    write(id: string, snapshot: Snapshot): Promise<boolean>;
}

/** Records per read; each has up to 64 KiB. */
const READ_LIMIT = 16;
const READ_OPTIONS = { limit: READ_LIMIT, waitMilliseconds: 0 };
const WRITE_ATTEMPTS = 5;
/** Shorter texts are compressed synchronously, which takes at most about a millisecond. */
const SYNCHRONOUS_COMPRESSION_LENGTH = 64 * 1024;
const COMPRESSION = { level: 1 };

/** Metadata of a snapshot in the log. */
interface Summary {
    readonly nextOffset: number;
    readonly count: number;
    /** Offset of the oldest record of each chunk, by chunk index. */
    readonly offsets: Map<number, number>;
}

/** Creates the store of a stream. `pause` waits between attempts to append. */
export function createSnapshotStore(
    stream: string,
    log: PlatformLog,
    pause: (attempt: number) => Promise<void>,
): SnapshotStore {
    const name = snapshotStream(stream);
    const summaries = new Map<string, Summary>();
    let cursor = 0;

    /** Reads from an offset to the end. Returns the oldest retained offset. */
    const readAll = async (from: number, visit: (entry: Entry) => void): Promise<number | undefined> => {
        let next = from;
        for (;;) {
            const page = await log.read(name, next, READ_OPTIONS);
            if (page.err) {
                return undefined;
            }
            page.val.entries.forEach(visit);
            const last = page.val.entries.at(-1);
            if (last === undefined) {
                return page.val.firstOffset;
            }
            next = last.offset + 1;
        }
    };

    return {
        load: async above => {
            const values: unknown[] = [];
            const firstOffset = await readAll(0, ({ value }) => {
                values.push(value);
            });
            return firstOffset === undefined ? undefined : completeSnapshots(stream, values, above);
        },
        newestOffset: async () => {
            const firstOffset = await readAll(cursor, ({ offset, value }) => {
                cursor = offset + 1;
                summarize(summaries, offset, value);
            });
            if (firstOffset === undefined) {
                return undefined;
            }
            dropIncomplete(summaries, firstOffset);
            return Math.max(
                0,
                ...[...summaries.values()].filter(isComplete).map(({ nextOffset }) => nextOffset),
            );
        },
        write: async (id, snapshot) => {
            for (const chunk of chunkSnapshot(id, snapshot, await compress(snapshot.text))) {
                if (!await appendChunk(log, name, chunk, pause)) {
                    return false;
                }
            }
            return true;
        },
    };
}

/** Compresses a large text on another thread, because 24 MB take about 0.3 s. */
function compress(text: string): Promise<Buffer> {
    return text.length < SYNCHRONOUS_COMPRESSION_LENGTH
        ? Promise.resolve(gzipSync(text, COMPRESSION))
        : promisify(gzip)(text, COMPRESSION);
}

/** Appends of chunks are idempotent, so an append whose answer was lost is sent again. */
async function appendChunk(
    log: PlatformLog,
    name: string,
    chunk: SnapshotChunk,
    pause: (attempt: number) => Promise<void>,
): Promise<boolean> {
    for (let attempt = 0; attempt < WRITE_ATTEMPTS; attempt += 1) {
        if ((await log.append(name, chunk)).ok) {
            return true;
        }
        await pause(attempt);
    }
    return false;
}

function summarize(summaries: Map<string, Summary>, offset: number, value: unknown): void {
    const chunk = value as Partial<SnapshotChunk> | undefined;
    if (chunk?.kind !== "chunk" || chunk.version !== SNAPSHOT_VERSION || chunk.snapshot === undefined) {
        return;
    }
    const { snapshot, nextOffset = 0, count = 0, index = 0 } = chunk;
    const summary = summaries.get(snapshot) ?? { nextOffset, count, offsets: new Map<number, number>() };
    summary.offsets.set(index, summary.offsets.get(index) ?? offset);
    summaries.set(snapshot, summary);
}

function isComplete({ count, offsets }: Summary): boolean {
    return offsets.size === count;
}

/** Drops snapshots that have lost a record to retention. */
function dropIncomplete(summaries: Map<string, Summary>, firstOffset: number): void {
    [...summaries]
        .filter(([, { offsets }]) => [...offsets.values()].some(offset => offset < firstOffset))
        .forEach(([id]) => summaries.delete(id));
}
