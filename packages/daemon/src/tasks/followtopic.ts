/** Follows a topic of the store: reads the newest value of each key once, then every change. */
import type { EventLog } from "../ports/eventlog.js";
import { type KeyedTopic, StoreError, type TopicChange, type TopicPage, type TopicRange } from "../ports/registry.js";
import { jitteredDelay, sleep } from "./sleep.js";

/** Options of a topic follower. */
export interface FollowOptions<Value> {
    readonly topic: KeyedTopic<Value>;
    readonly log: EventLog;
    /** Returns a random number from 0 to below 1, to spread retries. */
    readonly random: () => number;
    /** Returns the era of the store that is known now. A read at an offset of another era does not wait. */
    readonly currentEra: () => number;
    /**
     * Called with all keys that have values, at the start and after a gap. `isRestored` is set after the store came back
     * from an older copy; values that were written since may then be missing or older until they are written again.
     */
    readonly replace: (changes: readonly TopicChange<Value>[], isRestored: boolean, page: TopicPage<Value>) => void;
    /** Called with changes and the page or range that they are from. */
    readonly apply: (changes: readonly TopicChange<Value>[], page: TopicPage<Value>) => void;
    /** How long a read waits for a change. A longer wait delays the detection of a silent connection. */
    readonly waitMilliseconds: () => number;
    /** Pause between two reads, which batches changes. */
    readonly pauseMilliseconds: () => number;
    /** Called when the store stops answering. */
    readonly onLost?: () => void;
    /** Called with what a read of changes returned, also if there were none. */
    readonly onRead?: (range: TopicRange<Value>) => void;
}

/** A running follower. */
export interface TopicFollower {
    /**
     * Replaces a waiting read, or a rest, by an immediate read, because there is a change that is not known yet. What brings
     * it first gets `graceMilliseconds`, because it may be in flight: the answer to the waiting read, or an offered range.
     */
    refresh(graceMilliseconds: number): void;
    /**
     * Makes no read of its own for a time, because another daemon would tell of a change. A read that waits goes on, and
     * `refresh` ends the time; a pause that ends later is not shortened.
     */
    rest(milliseconds: number): void;
    stop(): void;
}

/** A running follower that also takes what another reader of the topic read. */
export interface FedTopicFollower<Value> extends TopicFollower {
    /**
     * Applies a range that was read elsewhere if it continues what is known, and makes no read of its own for a time. After a
     * gap, or in another era of the store, it reads at once.
     */
    offer(range: TopicRange<Value>, pauseMilliseconds: number): void;
}

/** Delay of the first retry; it doubles with each failure, up to the maximum. */
const RETRY_MILLISECONDS = 200;
/** Each call counts against the limits of the store, also one that it turns away. */
const MAXIMUM_RETRY_MILLISECONDS = 1_000;
/** Time over which the daemons spread their reads of all values after the store came back from an older copy. */
const RESTORE_SPREAD_MILLISECONDS = 300;

/** Starts to follow a topic. */
export function followTopic<Value>(options: FollowOptions<Value>): FedTopicFollower<Value> {
    const follower = new TopicFollowerTask(options);
    follower.start();
    return follower;
}

class TopicFollowerTask<Value> implements FedTopicFollower<Value> {
    private isStopped = false;
    /** Failed reads since the last one that was answered. */
    private failures = 0;
    private position: { readonly offset: number; readonly era: number; } | undefined;
    private lastEra: number | undefined;
    /** Controller of the waiting read, if there is one. */
    private waitingRead: AbortController | undefined;
    private isRefreshing = false;
    /** Runs while ranges are offered in time, or while this follower rests. */
    private offeredTimer: NodeJS.Timeout | undefined;
    /** Length of the pause that runs. */
    private pauseMilliseconds = 0;
    /** End of the pause that runs, in monotonic milliseconds. */
    private pausedUntil = 0;
    /** Ends the pause of the own reads. */
    private resumeReads: (() => void) | undefined;

    constructor(private readonly options: FollowOptions<Value>) {}

    start(): void {
        const { topic, log } = this.options;
        this.run().catch((error: unknown) => log.emit("taskFailed", { task: `follow ${topic.name}`, error }));
    }

    offer(range: TopicRange<Value>, pauseMilliseconds: number): void {
        const { position } = this;
        if (position === undefined || range.era < position.era) {
            return;
        }
        if (range.era > position.era || range.fromOffset > position.offset) {
            this.endPause();
            this.refresh(0);
            return;
        }
        if (range.nextOffset > position.offset) {
            this.moveTo(range);
            this.options.apply(range.changes, range);
        }
        this.pauseReads(pauseMilliseconds);
    }

    refresh(graceMilliseconds: number): void {
        if (this.offeredTimer !== undefined) {
            this.refreshPaused(graceMilliseconds);
            return;
        }
        const read = this.waitingRead;
        setTimeout(() => {
            if (read !== undefined && this.waitingRead === read && !read.signal.aborted) {
                this.isRefreshing = true;
                read.abort();
            }
        }, graceMilliseconds).unref();
    }

    rest(milliseconds: number): void {
        const endsLater = this.offeredTimer === undefined || performance.now() + milliseconds > this.pausedUntil;
        if (this.position !== undefined && !this.isRefreshing && endsLater) {
            this.pauseReads(milliseconds);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Ends the pause of the own reads, unless what is missing is offered within the time. */
    private refreshPaused(graceMilliseconds: number): void {
        const offset = this.position?.offset;
        const read = (): void => {
            if (this.offeredTimer !== undefined && this.position?.offset === offset) {
                this.isRefreshing = true;
                this.endPause();
            }
        };
        if (graceMilliseconds === 0) {
            read();
            return;
        }
        setTimeout(read, graceMilliseconds).unref();
    }

    /** Starts or prolongs the time without own reads. */
    private pauseReads(milliseconds: number): void {
        this.pausedUntil = performance.now() + milliseconds;
        if (this.offeredTimer !== undefined && milliseconds === this.pauseMilliseconds) {
            this.offeredTimer.refresh();
            return;
        }
        clearTimeout(this.offeredTimer);
        this.pauseMilliseconds = milliseconds;
        this.offeredTimer = setTimeout(() => this.endPause(), milliseconds).unref();
    }

    private endPause(): void {
        clearTimeout(this.offeredTimer);
        this.offeredTimer = undefined;
        this.resumeReads?.();
        this.resumeReads = undefined;
    }

    private async waitWhilePaused(): Promise<void> {
        if (this.offeredTimer !== undefined) {
            await new Promise<void>(resolve => {
                this.resumeReads = resolve;
            });
        }
    }

    private async run(): Promise<void> {
        while (!this.isStopped) {
            await this.waitWhilePaused();
            try {
                await this.readOnce();
                this.waitingRead = undefined;
                this.markRegained();
                await sleep(this.options.pauseMilliseconds());
            }
            catch (error) {
                await this.recover(error);
            }
        }
    }

    private async readOnce(): Promise<void> {
        if (this.position === undefined) {
            const page = await this.options.topic.readLatest();
            this.options.replace(page.changes, this.lastEra !== undefined && page.era !== this.lastEra, page);
            this.moveTo(page);
            return;
        }
        await this.readChanges(this.position);
    }

    private async readChanges(position: { readonly offset: number; readonly era: number; }): Promise<void> {
        const { topic, log, random, apply, onRead } = this.options;
        const isImmediate = this.failures > 0 || this.isRefreshing || position.era !== this.options.currentEra();
        const wait = isImmediate ? 0 : this.options.waitMilliseconds();
        this.waitingRead = wait > 0 ? new AbortController() : undefined;
        const page = await topic.readFrom(position.offset, wait, this.waitingRead?.signal);
        this.isRefreshing = false;
        if (page === undefined) {
            this.position = undefined;
            return;
        }
        if (page.era !== position.era) {
            // The offset may have been given out again, so records may stand before it that were never read.
            log.emit("topicRestored", { topic: topic.name, ...position, newEra: page.era });
            this.position = undefined;
            await sleep(random() * RESTORE_SPREAD_MILLISECONDS);
            return;
        }
        // A range that was offered meanwhile may have gone further already.
        const isCurrent = this.position === undefined || page.nextOffset >= this.position.offset;
        if (isCurrent) {
            this.moveTo(page);
            if (page.changes.length > 0) {
                apply(page.changes, page);
            }
        }
        onRead?.({ ...page, fromOffset: position.offset });
    }

    private moveTo({ nextOffset, era }: TopicPage<Value>): void {
        this.position = { offset: nextOffset, era };
        this.lastEra = era;
    }

    private markRegained(): void {
        if (this.failures > 0) {
            this.failures = 0;
            const { topic, log } = this.options;
            log.emit("storeRegained", { topic: topic.name, offset: this.position?.offset });
        }
    }

    /** Waits after a failed read. Any other error is a fault of this program; the topic is followed further nonetheless. */
    private async recover(error: unknown): Promise<void> {
        if (!(error instanceof StoreError)) {
            this.options.log.emit("taskFailed", { task: `follow ${this.options.topic.name}`, error });
            await sleep(MAXIMUM_RETRY_MILLISECONDS);
            return;
        }
        const wasAborted = this.waitingRead?.signal.aborted === true;
        this.waitingRead = undefined;
        if (wasAborted) {
            return;
        }
        const { topic, log, onLost, random } = this.options;
        if (this.failures === 0) {
            onLost?.();
            const offset = this.position?.offset;
            log.emit("storeLost", { topic: topic.name, offset, kind: error.kind, reason: error.message });
        }
        const delay = jitteredDelay(this.failures, RETRY_MILLISECONDS, MAXIMUM_RETRY_MILLISECONDS, random());
        this.failures += 1;
        await sleep(delay);
    }
}
