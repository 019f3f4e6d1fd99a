/** Follows a topic of the store: reads all newest values once, then each change. */
import type { EventLog } from "../ports/eventlog.js";
import { type KeyedTopic, StoreError, type TopicChange } from "../ports/registry.js";
import { sleep } from "./sleep.js";

/** What a follower works with. */
export interface FollowOptions<Value> {
    readonly topic: KeyedTopic<Value>;
    readonly log: EventLog;
    /** Random number from 0 to below 1, to spread retries. */
    readonly random: () => number;
    /** All keys with values, at start and after a gap. */
    readonly replace: (changes: readonly TopicChange<Value>[]) => void;
    readonly apply: (changes: readonly TopicChange<Value>[]) => void;
    /** How long a read waits for a change. One that waits longer notices a silent connection later. */
    readonly waitMilliseconds: () => number;
    /** Wait between two reads, so that changes arrive together. */
    readonly pauseMilliseconds: () => number;
    /** Called when the store stops answering. */
    readonly onLost?: () => void;
}

/** A running follower. */
export interface TopicFollower {
    /**
     * Reads at once, in place of a read that waits, because there is a change that it has not told. The read that waits
     * has a time to end by itself: its answer may be on the way.
     */
    refresh(graceMilliseconds: number): void;
    stop(): void;
}

const RETRY_MILLISECONDS = 200;

/** Starts to follow. */
export function followTopic<Value>(options: FollowOptions<Value>): TopicFollower {
    const { topic, log } = options;
    let stopped = false;
    let lost = false;
    let offset: number | undefined;
    /** The read that waits, if there is one. */
    let waiting: AbortController | undefined;
    let refreshing = false;

    const readOnce = async (): Promise<void> => {
        if (offset === undefined) {
            const page = await topic.newest();
            options.replace(page.changes);
            offset = page.nextOffset;
            return;
        }
        const wait = lost || refreshing ? 0 : options.waitMilliseconds();
        waiting = wait > 0 ? new AbortController() : undefined;
        const page = await topic.after(offset, wait, waiting?.signal);
        refreshing = false;
        offset = page?.nextOffset;
        if (page !== undefined && page.changes.length > 0) {
            options.apply(page.changes);
        }
    };
    const run = async (): Promise<void> => {
        while (!stopped) {
            try {
                await readOnce();
                waiting = undefined;
                if (lost) {
                    lost = false;
                    log.emit("storeRegained", { topic: topic.name, offset });
                }
                await sleep(options.pauseMilliseconds());
            }
            catch (error) {
                if (!(error instanceof StoreError)) {
                    throw error;
                }
                const ended = waiting?.signal.aborted === true;
                waiting = undefined;
                if (ended) {
                    continue;
                }
                if (!lost) {
                    lost = true;
                    options.onLost?.();
                    log.emit("storeLost", { topic: topic.name, offset, kind: error.kind, reason: error.message });
                }
                await sleep(RETRY_MILLISECONDS * (0.5 + options.random()));
            }
        }
    };
    run().catch((error: unknown) => log.emit("taskFailed", { task: `follow ${topic.name}`, error }));
    return {
        refresh: graceMilliseconds => {
            const read = waiting;
            setTimeout(() => {
                if (read !== undefined && waiting === read && !read.signal.aborted) {
                    refreshing = true;
                    read.abort();
                }
            }, graceMilliseconds).unref();
        },
        stop: () => {
            stopped = true;
        },
    };
}
