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
    /** Reads at once, in place of a read that waits, because there is a change that it has not told. */
    refresh(): void;
    stop(): void;
}

const RETRY_MILLISECONDS = 200;
/** A change that others know may not be readable here; asking for it all the time would flood the store. */
const REFRESH_INTERVAL_MILLISECONDS = 500;

/** Starts to follow. */
export function followTopic<Value>(options: FollowOptions<Value>): TopicFollower {
    const { topic, log } = options;
    let stopped = false;
    let lost = false;
    let offset: number | undefined;
    let waiting: AbortController | undefined;
    let refreshing = false;
    let resting = false;

    const readOnce = async (): Promise<void> => {
        if (offset === undefined) {
            const page = await topic.newest();
            options.replace(page.changes);
            offset = page.nextOffset;
            return;
        }
        waiting = new AbortController();
        const page = await topic.after(offset, lost || refreshing ? 0 : options.waitMilliseconds(), waiting.signal);
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
                if (refreshing && waiting?.signal.aborted === true) {
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
        refresh: () => {
            if (!resting) {
                resting = true;
                refreshing = true;
                waiting?.abort();
                setTimeout(() => {
                    resting = false;
                }, REFRESH_INTERVAL_MILLISECONDS).unref();
            }
        },
        stop: () => {
            stopped = true;
        },
    };
}
