/** Decides when a snapshot of a stream is due, and writes it. */
import { type Author, type FoldState, type Snapshot, SNAPSHOT_INTERVAL_OFFSETS } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { LogPage } from "../ports/platformlog.js";
import { sleep } from "./sleep.js";
import type { SnapshotStore } from "./snapshots.js";

/** Options of the writer of one stream. */
export interface SnapshotWriterOptions<State> {
    readonly name: string;
    readonly author: Author;
    readonly snapshots: SnapshotStore;
    readonly clock: Clock;
    readonly events: EventLog;
    readonly random: () => number;
    readonly signal: AbortSignal;
    /** Newest state; `undefined` while the stream is not read up to its end. */
    readonly current: () => FoldState<State> | undefined;
    readonly encode: (folded: FoldState<State>) => Promise<Snapshot>;
}

/** Writer of the snapshots of one stream. */
export interface SnapshotWriter {
    /** Starts to write a snapshot if the offsets of a page show that one is due. */
    writeWhenDue(page: LogPage): void;
}

const MAXIMUM_DELAY_MILLISECONDS = 2_000;
/** Interval at which the newest snapshot is looked up on an idle stream; retention may have removed it. */
const CHECK_INTERVAL_MILLISECONDS = 60_000;

/** Creates the writer of one stream. */
export function createSnapshotWriter<State>(options: SnapshotWriterOptions<State>): SnapshotWriter {
    const { name, author, snapshots, clock, events, random, signal, current } = options;
    let newestOffset = 0;
    let checkedAt = clock.monotonic();
    let count = 0;
    let isWriting = false;

    /** Waits a random time and checks again, because another daemon has usually written a snapshot by then. */
    const write = async (interval: number): Promise<void> => {
        await sleep(MAXIMUM_DELAY_MILLISECONDS * random(), signal);
        const offset = await snapshots.newestOffset();
        const folded = current();
        if (offset === undefined || folded === undefined || signal.aborted) {
            return;
        }
        newestOffset = offset;
        if (folded.nextOffset - newestOffset < interval) {
            return;
        }
        count += 1;
        const isWritten = await snapshots.write(
            `${author.daemon}.${author.incarnation}.${count}`,
            await options.encode(folded),
        );
        newestOffset = isWritten ? folded.nextOffset : newestOffset;
        events.emit(isWritten ? "snapshotWritten" : "snapshotFailed", { stream: name, nextOffset: folded.nextOffset });
    };

    return {
        writeWhenDue: ({ firstOffset, nextOffset }) => {
            const interval = Math.min(SNAPSHOT_INTERVAL_OFFSETS, Math.max(1, (nextOffset - firstOffset) / 2));
            const offsetsBehind = (current()?.nextOffset ?? 0) - newestOffset;
            const now = clock.monotonic();
            if (!isWriting && (offsetsBehind >= interval || now - checkedAt >= CHECK_INTERVAL_MILLISECONDS)) {
                isWriting = true;
                checkedAt = now;
                write(interval)
                    .catch((error: unknown) => events.emit("taskFailed", { task: `snapshot writer of ${name}`, error }))
                    .finally(() => {
                        isWriting = false;
                    });
            }
        },
    };
}
