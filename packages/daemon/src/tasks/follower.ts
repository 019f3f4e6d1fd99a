/**
 * Follows one stream of the log: folds entries from the platform or from peers, restores the state over gaps, and
 * writes snapshots. The state only ever moves to a higher offset.
 */
import { applyEntry, type Entry, type FoldState, initialFoldState } from "@damaskvale/core";
import type { LogPage } from "../ports/platformlog.js";
import type { Stream, StreamHealth } from "../ports/stream.js";
import { createAppender } from "./append.js";
import type { FollowedStream, StreamOptions } from "./followedstream.js";
import { createPublished } from "./published.js";
import { createStateSource } from "./restore.js";
import { jitteredDelay, sleep } from "./sleep.js";
import { createSnapshotStore } from "./snapshots.js";
import { createSnapshotWriter } from "./snapshotwriter.js";

/** Entries of one page; more would block the process for longer than a token may be late. */
const READ_LIMIT = 64;
const READ_WAIT_MILLISECONDS = 5_000;
const RETRY_BASE_MILLISECONDS = 200;
const RETRY_MAXIMUM_MILLISECONDS = 5_000;
/** A search for a newer state reads all retained snapshots, so it is repeated less often than a read. */
const RESTORE_MAXIMUM_MILLISECONDS = 30_000;
/** Pause after a peer could not help, since each of its probes tells of the same offset again. */
const PEER_RETRY_MILLISECONDS = 5_000;
/** Pause after a read that gave nothing, so that a log that does not wait is not asked without end. */
const EMPTY_READ_PAUSE_MILLISECONDS = 20;
/** Entries kept for peers. */
const RECENT_ENTRIES = 1_024;
/** How long a peer may be ahead before its entries are fetched although the platform can be read. */
const PEER_DELAY_MILLISECONDS = 300;
/** How long an entry that the log told of may be missing before the open read is replaced. */
const EXPECTED_READ_MILLISECONDS = 200;

/** Makes a followed stream. `start` begins to follow. */
export function createFollowedStream<State, Body>(options: StreamOptions<State, Body>): FollowedStream<State, Body> {
    return new Follower(options);
}

class Follower<State, Body> implements FollowedStream<State, Body> {
    readonly name: string;
    readonly folded;
    private readonly appender;
    private readonly snapshotWriter;
    private readonly states;
    private readonly stopped = new AbortController();
    private read = new AbortController();
    private running: Promise<unknown> = Promise.resolve();
    private recent: Entry[] = [];
    private reachable = false;
    private freshAt: number;
    private source: StreamHealth["source"] = "none";
    private caughtUp = false;
    private gap = false;
    private jumps = 0;
    private failures = 0;
    private fetchAfter = Number.NEGATIVE_INFINITY;

    constructor(private readonly options: StreamOptions<State, Body>) {
        const { name, definition, log, clock, random, exchange } = options;
        this.name = name;
        this.folded = createPublished<FoldState<State>>(initialFoldState(definition));
        this.freshAt = clock.monotonic();
        const snapshots = createSnapshotStore(name, log, () => sleep(RETRY_BASE_MILLISECONDS, this.stopped.signal));
        this.states = createStateSource(options, snapshots);
        this.snapshotWriter = createSnapshotWriter({
            ...options,
            snapshots,
            signal: this.stopped.signal,
            current: () => this.caughtUp ? this.folded.current() : undefined,
            encode: folded => this.states.encode(folded),
        });
        this.appender = createAppender({
            stream: name,
            author: options.author,
            log,
            clock,
            random,
            folded: () => this.folded.current(),
            jumps: () => this.jumps,
            blocked: () => this.blocked(),
            expect: offset => this.expect(offset),
        });
        exchange.serve(name, {
            entriesFrom: from => this.entriesFrom(from),
            snapshot: () => this.states.encode(this.folded.current()),
        });
    }

    append: Stream<State, Body>["append"] = (body, options) => this.appender.append(body, options);

    start(): void {
        this.running = this.follow();
    }

    async stop(): Promise<void> {
        this.stopped.abort();
        this.read.abort();
        this.appender.stop();
        await this.running;
    }

    health(): StreamHealth {
        const { nextOffset, halted } = this.folded.current();
        return {
            stream: this.name,
            nextOffset,
            platformReachable: this.reachable,
            freshAt: this.freshAt,
            source: this.source,
            caughtUp: this.caughtUp,
            ...(halted === undefined ? {} : { halted: halted.issue.message }),
        };
    }

    receivePeerOffset(peer: string, offset: number): void {
        const now = this.options.clock.monotonic();
        if (offset > this.nextOffset && now >= this.fetchAfter) {
            this.fetchAfter = Infinity;
            void this.fetchFrom(peer, offset).catch(error => this.failed(error)).then(helped => {
                this.fetchAfter = this.options.clock.monotonic() + (helped === true ? 0 : PEER_RETRY_MILLISECONDS);
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
        const newest = await this.states.newest(this.nextOffset);
        if (newest !== undefined) {
            this.jump(newest.folded, newest.source);
        }
        while (!this.isStopped) {
            this.read = new AbortController();
            const { signal } = this.read;
            // A reader that does not know the end of the log asks for it without waiting for a new entry.
            const waitMilliseconds = this.caughtUp ? READ_WAIT_MILLISECONDS : 0;
            const readOptions = { limit: READ_LIMIT, waitMilliseconds, signal };
            const from = this.nextOffset;
            const result = await this.options.log.read(this.name, from, readOptions);
            if (result.ok) {
                await this.take(result.val, from).catch(error => this.failed(error));
            }
            else if (!signal.aborted) {
                this.setReachable(false, result.val.message);
                await this.pause(RETRY_MAXIMUM_MILLISECONDS);
            }
        }
    }

    /** An error of a reader of the state must not end the task. */
    private failed(error: unknown): Promise<void> {
        this.options.events.emit("taskFailed", { task: "follower", stream: this.name, error });
        return this.pause(RETRY_MAXIMUM_MILLISECONDS);
    }

    private async take(page: LogPage, from: number): Promise<void> {
        this.setReachable(true);
        const before = this.nextOffset;
        this.fold(page.entries, "platform");
        if (page.firstOffset > this.nextOffset || this.folded.current().halted !== undefined) {
            this.caughtUp = false;
            await this.restore(page.firstOffset);
            return;
        }
        this.gap = false;
        this.failures = 0;
        this.caughtUp ||= this.nextOffset >= page.nextOffset;
        if (this.caughtUp) {
            this.snapshotWriter.writeWhenDue(page);
        }
        if (this.nextOffset === before && from === before) {
            await sleep(EMPTY_READ_PAUSE_MILLISECONDS, this.read.signal);
        }
    }

    /** Folds entries in order. Entries that are past or above a gap change nothing. */
    private fold(entries: readonly Entry[], source: StreamHealth["source"]): void {
        const { definition, metrics, events } = this.options;
        const before = this.folded.current();
        const folded = entries.reduce((current, entry) => {
            const applied = applyEntry(definition, current, entry);
            if (applied.folded.nextOffset > current.nextOffset) {
                this.recent.push(entry);
                metrics.increment("stream.entries", 1, { stream: this.name, kind: applied.kind });
            }
            if (applied.kind === "malformed") {
                events.emit("streamMalformed", { stream: this.name, offset: entry.offset });
            }
            return applied.folded;
        }, before);
        if (folded.halted !== undefined && before.halted === undefined) {
            this.caughtUp = false;
            events.emit("streamHalted", { stream: this.name, ...folded.halted });
        }
        if (folded !== before) {
            this.recent.splice(0, this.recent.length - RECENT_ENTRIES);
            this.adopt(folded, source);
        }
    }

    private adopt(folded: FoldState<State>, source: StreamHealth["source"]): void {
        this.source = source;
        this.freshAt = this.options.clock.monotonic();
        this.options.metrics.gauge("stream.offset", folded.nextOffset, { stream: this.name });
        this.folded.publish(folded);
        this.appender.changed();
    }

    /** Replaces the state by one with a higher offset and nothing else. */
    private jump(folded: FoldState<State>, source: "peer" | "snapshot"): boolean {
        const from = this.nextOffset;
        if (folded.nextOffset <= from) {
            return false;
        }
        this.jumps += 1;
        this.recent = [];
        this.adopt(folded, source);
        this.options.events.emit("streamRestored", { stream: this.name, from, to: folded.nextOffset, source });
        return true;
    }

    private async restore(firstOffset: number): Promise<void> {
        const newest = await this.states.newest(this.nextOffset);
        if (newest !== undefined && this.jump(newest.folded, newest.source)) {
            return;
        }
        if (!this.gap && this.folded.current().halted === undefined) {
            this.gap = true;
            this.options.events.emit("streamGap", { stream: this.name, nextOffset: this.nextOffset, firstOffset });
        }
        await this.pause(RESTORE_MAXIMUM_MILLISECONDS);
    }

    private async fetchFrom(peer: string, offset: number): Promise<boolean> {
        if (this.reachable) {
            await sleep(PEER_DELAY_MILLISECONDS, this.stopped.signal);
        }
        while (this.nextOffset < offset && !this.isStopped) {
            const before = this.nextOffset;
            const entries = await this.options.exchange.fetchEntries(peer, this.name, before);
            if (entries === undefined) {
                return false;
            }
            this.fold(entries, "peer");
            if (this.nextOffset === before) {
                const state = await this.states.fromPeer(peer);
                if (state === undefined || !this.jump(state, "peer")) {
                    return false;
                }
            }
        }
        return true;
    }

    private entriesFrom(from: number): readonly Entry[] {
        const first = this.recent[0]?.offset ?? from;
        return from < first ? [] : this.recent.slice(from - first, from - first + READ_LIMIT);
    }

    /** Replaces an open read that does not deliver an entry which the log holds: its connection may be silent. */
    private expect(offset: number): void {
        const read = this.read;
        setTimeout(() => {
            if (this.nextOffset <= offset && this.read === read) {
                read.abort();
            }
        }, EXPECTED_READ_MILLISECONDS).unref();
    }

    private blocked(): string | undefined {
        if (this.folded.current().halted !== undefined) {
            return `the fold of ${this.name} is halted`;
        }
        return this.caughtUp ? undefined : `${this.name} is not read up to its end`;
    }

    private setReachable(reachable: boolean, message?: string): void {
        if (reachable) {
            this.freshAt = this.options.clock.monotonic();
        }
        if (reachable !== this.reachable) {
            this.reachable = reachable;
            this.options.events.emit(reachable ? "streamReachable" : "streamUnreachable", {
                stream: this.name,
                ...(message === undefined ? {} : { message }),
            });
        }
    }

    private pause(maximum: number): Promise<void> {
        const delay = jitteredDelay(this.failures, RETRY_BASE_MILLISECONDS, maximum, this.options.random());
        this.failures += 1;
        return sleep(delay, this.stopped.signal);
    }
}
