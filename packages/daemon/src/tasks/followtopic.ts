/** Follows a topic of the store: reads the newest value of each key once, then every change. */
import type { EventLog } from "../ports/eventlog.js";
import { type KeyedTopic, StoreError, type TopicChange } from "../ports/registry.js";
import { sleep } from "./sleep.js";

/** Options of a topic follower. */
export interface FollowOptions<Value> {
    readonly topic: KeyedTopic<Value>;
    readonly log: EventLog;
    /** Returns a random number from 0 to below 1, to spread retries. */
    readonly random: () => number;
    /** Called with all keys that have values, at the start and after a gap. */
    readonly replace: (changes: readonly TopicChange<Value>[]) => void;
    readonly apply: (changes: readonly TopicChange<Value>[]) => void;
    /** How long a read waits for a change. A longer wait delays the detection of a silent connection. */
    readonly waitMilliseconds: () => number;
    /** Pause between two reads, which batches changes. */
    readonly pauseMilliseconds: () => number;
    /** Called when the store stops answering. */
    readonly onLost?: () => void;
}

/** A running follower. */
export interface TopicFollower {
    /**
     * Replaces a waiting read by an immediate one, because there is a change that it has not returned. The waiting read
     * first gets `graceMilliseconds` to complete, because its answer may be in flight.
     */
    refresh(graceMilliseconds: number): void;
    stop(): void;
}

const RETRY_MILLISECONDS = 200;

/** Starts to follow a topic. */
export function followTopic<Value>(options: FollowOptions<Value>): TopicFollower {
    const { topic, log } = options;
    let isStopped = false;
    let isLost = false;
    let offset: number | undefined;
    /** Controller of the waiting read, if there is one. */
    let waitingRead: AbortController | undefined;
    let isRefreshing = false;

    const readOnce = async (): Promise<void> => {
        if (offset === undefined) {
            const page = await topic.readLatest();
            options.replace(page.changes);
            offset = page.nextOffset;
            return;
        }
        const wait = isLost || isRefreshing ? 0 : options.waitMilliseconds();
        waitingRead = wait > 0 ? new AbortController() : undefined;
        const page = await topic.readFrom(offset, wait, waitingRead?.signal);
        isRefreshing = false;
        offset = page?.nextOffset;
        if (page !== undefined && page.changes.length > 0) {
            options.apply(page.changes);
        }
    };
    const run = async (): Promise<void> => {
        while (!isStopped) {
            try {
                await readOnce();
                waitingRead = undefined;
                if (isLost) {
                    isLost = false;
                    log.emit("storeRegained", { topic: topic.name, offset });
                }
                await sleep(options.pauseMilliseconds());
            }
            catch (error) {
                if (!(error instanceof StoreError)) {
                    throw error;
                }
                const wasAborted = waitingRead?.signal.aborted === true;
                waitingRead = undefined;
                if (wasAborted) {
                    continue;
                }
                if (!isLost) {
                    isLost = true;
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
            const read = waitingRead;
            setTimeout(() => {
                if (read !== undefined && waitingRead === read && !read.signal.aborted) {
                    isRefreshing = true;
                    read.abort();
                }
            }, graceMilliseconds).unref();
        },
        stop: () => {
            isStopped = true;
        },
    };
}
