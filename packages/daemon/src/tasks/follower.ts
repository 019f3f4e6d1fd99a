/**
 * Follows one stream of the log: folds entries from the platform or from peers, restores the state after gaps, and
 * writes snapshots. The offset of the state never decreases.
 */
import { applyEntry, type Entry, type FoldState, initialFoldState } from "@damaskvale/core";
import type { LogPage } from "../ports/platformlog.js";
import type { Stream, StreamHealth } from "../ports/stream.js";
import { createAppender } from "./append.js";
import type { FollowedStream, StreamOptions } from "./followedstream.js";
import { createPublished } from "./published.js";
import { jitteredDelay, sleep } from "./sleep.js";
import { createSnapshotStore } from "./snapshots.js";
import { createSnapshotWriter } from "./snapshotwriter.js";
import { createStateSource } from "./statesource.js";

/** Entries per page. Folding a larger page would block the process for longer than a token may be delayed. */
const READ_LIMIT = 64;
const READ_WAIT_MILLISECONDS = 5_000;
const RETRY_BASE_MILLISECONDS = 200;
const RETRY_MAXIMUM_MILLISECONDS = 5_000;
/** A search for a newer state reads all retained snapshots, so it is retried less often than a read. */
const RESTORE_MAXIMUM_MILLISECONDS = 30_000;
/** Pause after an unsuccessful fetch from a peer, because each of its probes reports the same offset again. */
const PEER_RETRY_MILLISECONDS = 5_000;
/** Pause after an empty read, which prevents a busy loop on a log that returns without waiting. */
const EMPTY_READ_PAUSE_MILLISECONDS = 20;
/** Number of entries kept for peers. */
const RECENT_ENTRIES = 1_024;
/** How long a peer may be ahead before its entries are fetched while the platform is reachable. */
const PEER_FETCH_DELAY_MILLISECONDS = 300;
/** How long an entry that the log has acknowledged may be missing before the open read is replaced. */
const EXPECTED_ENTRY_TIMEOUT_MILLISECONDS = 200;

/** Creates a followed stream. `start` starts to follow it. */
export function createFollowedStream<State, Body>(options: StreamOptions<State, Body>): FollowedStream<State, Body> {
    return new Follower(options);
}

class Follower<State, Body> implements FollowedStream<State, Body> {
    readonly name: string;
    readonly folded;
    private readonly appender;
    private readonly snapshotWriter;
    private readonly stateSource;
    private readonly stopped = new AbortController();
    private readController = new AbortController();
    private running: Promise<unknown> = Promise.resolve();
    private recentEntries: Entry[] = [];
    private isReachable = false;
    private freshAt: number;
    private source: StreamHealth["source"] = "none";
    private isCaughtUp = false;
    private gapReported = false;
    private replacements = 0;
    private failures = 0;
    private peerFetchAllowedAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: StreamOptions<State, Body>) {
        const { name, definition, log, clock, random, exchange } = options;
        this.name = name;
        this.folded = createPublished<FoldState<State>>(initialFoldState(definition));
        this.freshAt = clock.monotonic();
        const snapshots = createSnapshotStore(name, log, () => sleep(RETRY_BASE_MILLISECONDS, this.stopped.signal));
        this.stateSource = createStateSource(options, snapshots);
        this.snapshotWriter = createSnapshotWriter({
            ...options,
            snapshots,
            signal: this.stopped.signal,
            current: () => this.isCaughtUp ? this.folded.current() : undefined,
            encode: folded => this.stateSource.encode(folded),
        });
        this.appender = createAppender({
            stream: name,
            author: options.author,
            log,
            clock,
            random,
            folded: () => this.folded.current(),
            replacements: () => this.replacements,
            blockedReason: () => this.blockedReason(),
            expect: offset => this.expect(offset),
        });
        exchange.serve(name, {
            entriesFrom: from => this.entriesFrom(from),
            snapshot: () => this.stateSource.encode(this.folded.current()),
        });
    }

    append: Stream<State, Body>["append"] = (body, options) => this.appender.append(body, options);

    start(): void {
        this.running = this.follow();
    }

    async stop(): Promise<void> {
        this.stopped.abort();
        this.readController.abort();
        this.appender.stop();
        await this.running;
    }

    health(): StreamHealth {
        const { nextOffset, halted } = this.folded.current();
        return {
            stream: this.name,
            nextOffset,
            platformReachable: this.isReachable,
            freshAt: this.freshAt,
            source: this.source,
            caughtUp: this.isCaughtUp,
            ...(halted === undefined ? {} : { halted: halted.issue.message }),
        };
    }

    receivePeerOffset(peer: string, offset: number): void {
        const now = this.options.clock.monotonic();
        if (offset > this.nextOffset && now >= this.peerFetchAllowedAt) {
            this.peerFetchAllowedAt = Infinity;
            void this.fetchFromPeer(peer, offset).catch(error => this.failed(error)).then(succeeded => {
                this.peerFetchAllowedAt = this.options.clock.monotonic()
                    + (succeeded === true ? 0 : PEER_RETRY_MILLISECONDS);
            });
        }
    }

    private get nextOffset(): number {
        return this.folded.current().nextOffset;
    }

    private get isStopped(): boolean {
        return this.stopped.signal.aborted;
    }

    private async follow(): Promise<void> {
        const newest = await this.stateSource.findNewest(this.nextOffset);
        if (newest !== undefined) {
            this.replaceState(newest.folded, newest.source);
        }
        while (!this.isStopped) {
            this.readController = new AbortController();
            const { signal } = this.readController;
            // Until the end of the log is known, a read returns at once instead of waiting for a new entry.
            const waitMilliseconds = this.isCaughtUp ? READ_WAIT_MILLISECONDS : 0;
            const readOptions = { limit: READ_LIMIT, waitMilliseconds, signal };
            const from = this.nextOffset;
            const result = await this.options.log.read(this.name, from, readOptions);
            if (result.ok) {
                await this.processPage(result.val, from).catch(error => this.failed(error));
            }
            else if (!signal.aborted) {
                this.setReachable(false, result.val.message);
                await this.backOff(RETRY_MAXIMUM_MILLISECONDS);
            }
        }
    }

    /** Reports an error without ending the task, such as one thrown by a subscriber of the state. */
    private failed(error: unknown): Promise<void> {
        this.options.events.emit("taskFailed", { task: "follower", stream: this.name, error });
        return this.backOff(RETRY_MAXIMUM_MILLISECONDS);
    }

    private async processPage(page: LogPage, from: number): Promise<void> {
        this.setReachable(true);
        const before = this.nextOffset;
        this.fold(page.entries, "platform");
        if (page.firstOffset > this.nextOffset || this.folded.current().halted !== undefined) {
            this.isCaughtUp = false;
            await this.restore(page.firstOffset);
            return;
        }
        this.gapReported = false;
        this.failures = 0;
        this.isCaughtUp ||= this.nextOffset >= page.nextOffset;
        if (this.isCaughtUp) {
            this.snapshotWriter.writeWhenDue(page);
        }
        if (this.nextOffset === before && from === before) {
            await sleep(EMPTY_READ_PAUSE_MILLISECONDS, this.readController.signal);
        }
    }

    /** Folds entries in order. Entries that were folded before or that follow a gap are ignored. */
    private fold(entries: readonly Entry[], source: StreamHealth["source"]): void {
        const { definition, metrics, events } = this.options;
        const before = this.folded.current();
        const folded = entries.reduce((current, entry) => {
            const applied = applyEntry(definition, current, entry);
            if (applied.folded.nextOffset > current.nextOffset) {
                this.recentEntries.push(entry);
                metrics.increment("stream.entries", 1, { stream: this.name, kind: applied.kind });
            }
            if (applied.kind === "malformed") {
                events.emit("streamMalformed", { stream: this.name, offset: entry.offset });
            }
            return applied.folded;
        }, before);
        if (folded.halted !== undefined && before.halted === undefined) {
            this.isCaughtUp = false;
            events.emit("streamHalted", { stream: this.name, ...folded.halted });
        }
        if (folded !== before) {
            this.recentEntries.splice(0, this.recentEntries.length - RECENT_ENTRIES);
            this.publishState(folded, source);
        }
    }

    private publishState(folded: FoldState<State>, source: StreamHealth["source"]): void {
        this.source = source;
        this.freshAt = this.options.clock.monotonic();
        this.options.metrics.gauge("stream.offset", folded.nextOffset, { stream: this.name });
        this.folded.publish(folded);
        this.appender.stateChanged();
    }

    /** Replaces the state if the new one has a higher offset. Returns whether it was replaced. */
    private replaceState(folded: FoldState<State>, source: "peer" | "snapshot"): boolean {
        const from = this.nextOffset;
        if (folded.nextOffset <= from) {
            return false;
        }
        this.replacements += 1;
        this.recentEntries = [];
        this.publishState(folded, source);
        this.options.events.emit("streamRestored", { stream: this.name, from, to: folded.nextOffset, source });
        return true;
    }

    private async restore(firstOffset: number): Promise<void> {
        const newest = await this.stateSource.findNewest(this.nextOffset);
        if (newest !== undefined && this.replaceState(newest.folded, newest.source)) {
            return;
        }
        if (!this.gapReported && this.folded.current().halted === undefined) {
            this.gapReported = true;
            this.options.events.emit("streamGap", { stream: this.name, nextOffset: this.nextOffset, firstOffset });
        }
        await this.backOff(RESTORE_MAXIMUM_MILLISECONDS);
    }

    private async fetchFromPeer(peer: string, offset: number): Promise<boolean> {
        if (this.isReachable) {
            await sleep(PEER_FETCH_DELAY_MILLISECONDS, this.stopped.signal);
        }
        while (this.nextOffset < offset && !this.isStopped) {
            const before = this.nextOffset;
            const entries = await this.options.exchange.fetchEntries(peer, this.name, before);
            if (entries === undefined) {
                return false;
            }
            this.fold(entries, "peer");
            if (this.nextOffset === before) {
                const state = await this.stateSource.fetchFromPeer(peer);
                if (state === undefined || !this.replaceState(state, "peer")) {
                    return false;
                }
            }
        }
        return true;
    }

    private entriesFrom(from: number): readonly Entry[] {
        const first = this.recentEntries[0]?.offset ?? from;
        return from < first ? [] : this.recentEntries.slice(from - first, from - first + READ_LIMIT);
    }

    /** Aborts the open read if it does not return an entry that is in the log: its connection may be silent. */
    private expect(offset: number): void {
        const read = this.readController;
        setTimeout(() => {
            if (this.nextOffset <= offset && this.readController === read) {
                read.abort();
            }
        }, EXPECTED_ENTRY_TIMEOUT_MILLISECONDS).unref();
    }

    private blockedReason(): string | undefined {
        if (this.folded.current().halted !== undefined) {
            return `the fold of ${this.name} is halted`;
        }
        return this.isCaughtUp ? undefined : `${this.name} is not read up to its end`;
    }

    private setReachable(reachable: boolean, message?: string): void {
        if (reachable) {
            this.freshAt = this.options.clock.monotonic();
        }
        if (reachable !== this.isReachable) {
            this.isReachable = reachable;
            this.options.events.emit(reachable ? "streamReachable" : "streamUnreachable", {
                stream: this.name,
                ...(message === undefined ? {} : { message }),
            });
        }
    }

    private backOff(maximum: number): Promise<void> {
        const delay = jitteredDelay(this.failures, RETRY_BASE_MILLISECONDS, maximum, this.options.random());
        this.failures += 1;
        return sleep(delay, this.stopped.signal);
    }
}
