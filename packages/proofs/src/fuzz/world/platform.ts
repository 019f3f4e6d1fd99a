/** Fake of the platform's log with faults for each daemon. */
import type { Entry } from "@damaskvale/core";
import type { LogFailure, LogPage, PlatformLog } from "@damaskvale/daemon";
import { Err, Ok, type Result } from "ts-results";
import type { SimulatedTime } from "./time.js";

/**
 * Fault between one daemon and the log. `lost`: appends take effect and their answers are lost. `dropped`: appends
 * vanish and look the same. `delayed`: the same, but they take effect at `deliver`. `frozen`: answers are held back.
 */
export type LinkFault = "none" | "outage" | "lost" | "dropped" | "delayed" | "frozen" | "limited" | "slow";
/** All faults. */
export const linkFaults = ["none", "outage", "lost", "dropped", "delayed", "frozen", "limited", "slow"] as const;

interface StreamLog {
    firstOffset: number;
    readonly entries: Entry[];
}

const ANSWER_MILLISECONDS = 2;
const SLOW_MILLISECONDS = 700;
const LOST_MILLISECONDS = 1_500;

/** Log of a scenario. */
export class FakePlatform {
    readonly faults = new Map<string, LinkFault>();
    private readonly streams = new Map<string, StreamLog>();
    private delayed: (() => void)[] = [];
    private readonly readers = new Set<() => void>();
    private readonly thawed = new Map<string, (() => void)[]>();

    constructor(private readonly time: SimulatedTime) {}

    /** Returns all entries ever accepted, also removed ones. */
    history(stream: string): readonly Entry[] {
        return this.streamOf(stream).entries;
    }

    firstOffset(stream: string): number {
        return this.streamOf(stream).firstOffset;
    }

    commit(stream: string, value: unknown): number {
        const { entries } = this.streamOf(stream);
        // A copy by value: what a daemon sent may not change by what it does later.
        entries.push({ offset: entries.length, time: this.time.now(), value: structuredClone(value) });
        [...this.readers].forEach(wake => wake());
        return entries.length - 1;
    }

    /** Removes all but the newest `keep` entries. */
    truncate(stream: string, keep: number): void {
        const log = this.streamOf(stream);
        log.firstOffset = Math.max(log.firstOffset, log.entries.length - keep);
    }

    /** Lets the delayed appends take effect. */
    commitDelayedAppends(): void {
        const delayed = this.delayed;
        this.delayed = [];
        delayed.forEach(commit => commit());
    }

    setFault(daemon: string, fault: LinkFault): void {
        this.faults.set(daemon, fault);
        if (fault !== "frozen") {
            const thawed = this.thawed.get(daemon) ?? [];
            this.thawed.delete(daemon);
            thawed.forEach(answer => answer());
        }
        [...this.readers].forEach(wake => wake());
    }

    /** Returns the log as a daemon sees it. */
    client(daemon: string): PlatformLog {
        return {
            append: (stream, value) => this.append(daemon, stream, value),
            read: (stream, from, options) => this.read(daemon, stream, from, options),
        };
    }

    private async append(daemon: string, stream: string, value: unknown): Promise<Result<number, LogFailure>> {
        await this.wait(daemon);
        const lost = async (): Promise<Result<number, LogFailure>> => {
            await this.pass(LOST_MILLISECONDS);
            return Err({ kind: "ambiguous", message: "no answer" });
        };
        const accept = async (): Promise<Result<number, LogFailure>> => {
            const offset = this.commit(stream, value);
            await this.wait(daemon);
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
        await this.wait(daemon);
        const log = this.streamOf(stream);
        if (log.entries.length <= from && waitMilliseconds > 0 && this.faults.get(daemon) !== "outage") {
            await this.waitForEntry(log, from, waitMilliseconds, signal);
        }
        await this.wait(daemon);
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
                this.readers.delete(check);
                resolve();
            };
            const check = () => {
                if (log.entries.length > from || [...this.faults.values()].includes("outage")) {
                    finish();
                }
            };
            const timer = setTimeout(finish, milliseconds);
            this.readers.add(check);
            signal?.addEventListener("abort", finish, { once: true });
        });
    }

    /** Passes the time of one way to the log; a frozen daemon sends and receives nothing until it thaws. */
    private async wait(daemon: string): Promise<void> {
        const fault = this.faults.get(daemon) ?? "none";
        if (fault === "frozen") {
            await new Promise<void>(resolve => {
                this.thawed.set(daemon, [...this.thawed.get(daemon) ?? [], resolve]);
            });
        }
        await this.pass(fault === "slow" ? SLOW_MILLISECONDS : ANSWER_MILLISECONDS);
    }

    private pass(milliseconds: number): Promise<void> {
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
