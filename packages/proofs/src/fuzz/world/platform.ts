/** Fake platform log with separate faults for each daemon. */
import type { Entry } from "@damaskvale/core";
import type { LogFailure, LogPage, PlatformLog } from "@damaskvale/daemon";
import { Err, Ok, type Result } from "ts-results";
import type { SimulatedTime } from "./time.js";

/**
 * Fault between one daemon and the log. `lost`: appends take effect, but their answers are lost. `dropped`: appends and
 * their answers are lost. `delayed`: answers are lost and appends take effect at `commitDelayedAppends`. `frozen`:
 * requests and answers are held back.
 */
export type LinkFault = "none" | "outage" | "lost" | "dropped" | "delayed" | "frozen" | "limited" | "slow";
/** All faults. */
export const linkFaults = ["none", "outage", "lost", "dropped", "delayed", "frozen", "limited", "slow"] as const;

interface StreamLog {
    firstOffset: number;
    readonly entries: Entry[];
}

const LATENCY_MILLISECONDS = 2;
const SLOW_LATENCY_MILLISECONDS = 700;
const LOST_ANSWER_TIMEOUT_MILLISECONDS = 1_500;

/** Log of a scenario. */
export class FakePlatform {
    readonly faults = new Map<string, LinkFault>();
    private readonly streams = new Map<string, StreamLog>();
    private delayed: (() => void)[] = [];
    private readonly wakeReaders = new Set<() => void>();
    private readonly frozenWaiters = new Map<string, (() => void)[]>();

    constructor(private readonly time: SimulatedTime) {}

    /** Returns all entries that were ever accepted, including removed ones. */
    history(stream: string): readonly Entry[] {
        return this.streamOf(stream).entries;
    }

    firstOffset(stream: string): number {
        return this.streamOf(stream).firstOffset;
    }

    commit(stream: string, value: unknown): number {
        const { entries } = this.streamOf(stream);
        // A deep copy, so that later changes by the daemon do not affect the entry.
        entries.push({ offset: entries.length, time: this.time.now(), value: structuredClone(value) });
        [...this.wakeReaders].forEach(wake => wake());
        return entries.length - 1;
    }

    /** Removes all but the newest `keep` entries. */
    truncate(stream: string, keep: number): void {
        const log = this.streamOf(stream);
        log.firstOffset = Math.max(log.firstOffset, log.entries.length - keep);
    }

    /** Appends the delayed entries. */
    commitDelayedAppends(): void {
        const delayed = this.delayed;
        this.delayed = [];
        delayed.forEach(commit => commit());
    }

    setFault(daemon: string, fault: LinkFault): void {
        this.faults.set(daemon, fault);
        if (fault !== "frozen") {
            const thawed = this.frozenWaiters.get(daemon) ?? [];
            this.frozenWaiters.delete(daemon);
            thawed.forEach(answer => answer());
        }
        [...this.wakeReaders].forEach(wake => wake());
    }

    /** Returns the client of one daemon. */
    client(daemon: string): PlatformLog {
        return {
            append: (stream, value) => this.append(daemon, stream, value),
            read: (stream, from, options) => this.read(daemon, stream, from, options),
        };
    }

    private async append(daemon: string, stream: string, value: unknown): Promise<Result<number, LogFailure>> {
        await this.waitForLink(daemon);
        const lost = async (): Promise<Result<number, LogFailure>> => {
            await this.sleep(LOST_ANSWER_TIMEOUT_MILLISECONDS);
            return Err({ kind: "ambiguous", message: "no answer" });
        };
        const accept = async (): Promise<Result<number, LogFailure>> => {
            const offset = this.commit(stream, value);
            await this.waitForLink(daemon);
            return Ok(offset);
        };
        const refuse = (retryAfterMilliseconds?: number): Promise<Result<number, LogFailure>> =>
            Promise.resolve(Err({ kind: "refused", message: "refused", retryAfterMilliseconds }));
        const handlers: Record<LinkFault, () => Promise<Result<number, LogFailure>>> = {
            none: accept,
            slow: accept,
            frozen: accept,
            outage: () => refuse(),
            limited: () => refuse(300),
            dropped: lost,
            lost: () => {
                this.commit(stream, value);
                return lost();
            },
            delayed: () => {
                const copy = structuredClone(value);
                this.delayed.push(() => this.commit(stream, copy));
                return lost();
            },
        };
        return handlers[this.faults.get(daemon) ?? "none"]();
    }

    private async read(
        daemon: string,
        stream: string,
        from: number,
        { limit, waitMilliseconds, signal }: Parameters<PlatformLog["read"]>[2],
    ): Promise<Result<LogPage, LogFailure>> {
        await this.waitForLink(daemon);
        const log = this.streamOf(stream);
        if (log.entries.length <= from && waitMilliseconds > 0 && this.faults.get(daemon) !== "outage") {
            await this.waitForEntry(log, from, waitMilliseconds, signal);
        }
        await this.waitForLink(daemon);
        if (this.faults.get(daemon) === "outage" || signal?.aborted === true) {
            return Err({ kind: "refused", message: "outage" });
        }
        const start = Math.max(from, log.firstOffset);
        return Ok({
            firstOffset: log.firstOffset,
            nextOffset: log.entries.length,
            entries: log.entries.slice(start, start + limit),
        });
    }

    private waitForEntry(log: StreamLog, from: number, milliseconds: number, signal?: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const finish = () => {
                clearTimeout(timer);
                this.wakeReaders.delete(check);
                resolve();
            };
            const check = () => {
                if (log.entries.length > from || [...this.faults.values()].includes("outage")) {
                    finish();
                }
            };
            const timer = setTimeout(finish, milliseconds);
            this.wakeReaders.add(check);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }

    /** Waits for the one-way latency to the log; with the fault `frozen`, first waits until the fault ends. */
    private async waitForLink(daemon: string): Promise<void> {
        const fault = this.faults.get(daemon) ?? "none";
        if (fault === "frozen") {
            await new Promise<void>(resolve => {
                this.frozenWaiters.set(daemon, [...this.frozenWaiters.get(daemon) ?? [], resolve]);
            });
        }
        await this.sleep(fault === "slow" ? SLOW_LATENCY_MILLISECONDS : LATENCY_MILLISECONDS);
    }

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            setTimeout(resolve, milliseconds);
        });
    }

    private streamOf(stream: string): StreamLog {
        const log = this.streams.get(stream) ?? { firstOffset: 0, entries: [] };
        this.streams.set(stream, log);
        return log;
    }
}
