/** Fakes for the tests of streams and claims: a log with scripted failures, and a network without links. */
import type { Entry } from "@damaskvale/core";
import FakeTimers from "@sinonjs/fake-timers";
import { Err, Ok, type Result } from "ts-results";
import type { PeerMessage } from "../../messages.js";
import type { PeerNetwork } from "../../ports/peers.js";
import type { LogFailure, LogPage, PlatformLog } from "../../ports/platformlog.js";
import { sleep } from "../sleep.js";

/** In-memory log. A read ends when there is an entry to return or when its wait time has passed. */
export class InMemoryLog implements PlatformLog {
    readonly entries: Entry[] = [];
    readonly sent: { stream: string; value: unknown; }[] = [];
    firstOffset = 0;
    isReachable = true;
    /** Failures of the next appends, in order; `effect` says whether the entry is written despite the failure. */
    failures: (LogFailure & { readonly effect?: boolean; })[] = [];

    commit(value: unknown): number {
        this.entries.push({ offset: this.entries.length, time: 0, value });
        return this.entries.length - 1;
    }

    append(stream: string, value: unknown): Promise<Result<number, LogFailure>> {
        const failure = this.failures.shift();
        this.sent.push({ stream, value });
        const isOwn = !stream.startsWith("snapshots.");
        const offset = isOwn && (failure?.effect ?? failure === undefined) ? this.commit(value) : 0;
        return Promise.resolve(failure === undefined ? Ok(offset) : Err(failure));
    }

    async read(
        stream: string,
        from: number,
        { waitMilliseconds, signal }: { readonly waitMilliseconds: number; readonly signal?: AbortSignal; },
    ): Promise<Result<LogPage, LogFailure>> {
        const entries = stream.startsWith("snapshots.") ? [] : this.entries;
        for (let waited = 0; waited < waitMilliseconds && this.isReachable && entries.length <= from; waited += 10) {
            await sleep(10, signal);
        }
        if (!this.isReachable) {
            return Err({ kind: "refused", message: "outage" });
        }
        const { firstOffset } = this;
        return Ok({ firstOffset, nextOffset: entries.length, entries: entries.slice(Math.max(from, firstOffset)) });
    }
}

/** Network whose peer answers each message with the messages that `answer` returns. */
export function peerNetwork(answer: (message: PeerMessage) => PeerMessage[] = () => []): PeerNetwork {
    const receivers = new Map<string, (from: string, message: never) => void>();
    return {
        send: (...[, message]) => {
            answer(message).forEach(reply => receivers.get(reply.kind)?.("peer", reply as never));
            return true;
        },
        onMessage: (kind, receiver) => {
            receivers.set(kind, receiver as never);
        },
        connect: () => undefined,
        links: () => [],
    };
}

/** Runs a test on fake timers; `advance` moves them forward by a number of milliseconds. */
export async function withTimers(
    test: (advance: (milliseconds: number) => Promise<void>) => Promise<void>,
): Promise<void> {
    const settle = setImmediate;
    const clock = FakeTimers.install({ toFake: ["setTimeout", "clearTimeout", "performance", "Date"] });
    try {
        await test(async milliseconds => {
            for (let passed = 0; passed < milliseconds; passed += 10) {
                await new Promise<void>(resolve => settle(resolve));
                clock.tick(10);
            }
            await new Promise<void>(resolve => settle(resolve));
        });
    }
    finally {
        clock.uninstall();
    }
}
