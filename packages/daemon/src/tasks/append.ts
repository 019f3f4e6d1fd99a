/** Appends records to a stream and resends them with the same id until their decision is read back. */
import { type Author, type Decision, type FoldState, type LogRecord, RECORD_VERSION } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.js";
import type { PlatformLog } from "../ports/platformlog.js";
import type { AppendFailure } from "../ports/stream.js";
import { jitteredDelay, sleep } from "./sleep.js";

/** What the appender needs of the follower. */
export interface AppenderOptions {
    readonly stream: string;
    readonly author: Author;
    readonly log: PlatformLog;
    readonly clock: Clock;
    /** Numbers from 0 to 1. */
    readonly random: () => number;
    readonly folded: () => FoldState<unknown>;
    /** How often a snapshot or peer state replaced the state without the entries between. */
    readonly jumps: () => number;
    /** Why appends are not possible now. */
    readonly blocked: () => string | undefined;
    /** Asks for a new read, because the log holds an entry that was not read yet. */
    readonly expect: (offset: number) => void;
}

/** Appender of one stream. */
export interface Appender {
    append(
        body: unknown,
        options: { readonly id?: string; readonly timeoutMilliseconds: number; },
    ): Promise<Result<Decision, AppendFailure>>;
    /** Tells of a new state, which may hold decisions that are waited for. */
    changed(): void;
    /** Ends all waits; records that were sent are ambiguous. */
    stop(): void;
}

/** A record that was sent and is not decided. It keeps its basis, so that a late copy cannot outlive its id. */
interface Sent {
    readonly record: LogRecord;
    readonly jumps: number;
    /** Copies whose answer has not come yet. */
    underway: number;
    /** Whether an answer was lost or the log told of an offset. */
    logged: boolean;
    /** First decision that was read. A copy that comes after the window has another one, which does not count. */
    decision?: Decision;
}

type Decided = Result<Decision, AppendFailure>;

const RESEND_BASE_MILLISECONDS = 50;
const RESEND_MAXIMUM_MILLISECONDS = 1_000;
/** How long a record that the log accepted may be missing from the reads before it is sent again. */
const READ_BACK_MILLISECONDS = 500;
/** Undecided records remembered for repeats; the oldest are forgotten first. */
const MAXIMUM_SENT = 4_096;

/** Makes the appender. */
export function createAppender(options: AppenderOptions): Appender {
    const { author, folded } = options;
    const sent = new Map<string, Sent>();
    const waits = new Set<() => void>();
    const stopped = new AbortController();
    let counter = 0;

    const prepare = (body: unknown, id: string): Sent => {
        const record = { version: RECORD_VERSION, id, author, basis: folded().nextOffset, body };
        const one = sent.get(id) ?? { record, jumps: options.jumps(), underway: 0, logged: false };
        sent.set(id, one);
        [...sent.keys()].slice(0, Math.max(0, sent.size - MAXIMUM_SENT)).forEach(oldest => sent.delete(oldest));
        return one;
    };

    const waitFor = (one: Sent, timeoutMilliseconds: number): Promise<Decided> =>
        new Promise(resolve => {
            const ended = new AbortController();
            const end = (result: Decided) => {
                clearTimeout(timer);
                stopped.signal.removeEventListener("abort", giveUp);
                waits.delete(check);
                ended.abort();
                resolve(result);
            };
            const giveUp = () => {
                end(Err({ kind: mayArrive(one) ? "ambiguous" : "refused", message: "no decision was read in time" }));
            };
            const check = () => {
                const result = decisionOf(options, one);
                if (result !== undefined) {
                    end(result);
                }
            };
            const timer = setTimeout(giveUp, timeoutMilliseconds);
            stopped.signal.addEventListener("abort", giveUp, { once: true });
            waits.add(check);
            const deadlineAt = options.clock.monotonic() + timeoutMilliseconds;
            void sendUntil(options, one, ended.signal, deadlineAt).then(failure => {
                if (!ended.signal.aborted && failure !== undefined) {
                    end(Err(failure));
                }
            });
        });

    return {
        append: async (
            body,
            { id = `${author.daemon}.${author.incarnation}.${counter += 1}`, timeoutMilliseconds },
        ) => {
            const one = prepare(body, id);
            const result = decisionOf(options, one) ?? await waitFor(one, timeoutMilliseconds);
            if (result.ok || !mayArrive(one)) {
                sent.delete(id);
            }
            return result;
        },
        changed: () => {
            sent.forEach(one => {
                one.decision ??= folded().decisions.get(one.record.id);
            });
            [...waits].forEach(check => check());
        },
        stop: () => stopped.abort(),
    };
}

function mayArrive({ underway, logged }: Sent): boolean {
    return underway > 0 || logged;
}

/** A stale basis read after a jump does not tell whether an earlier copy took effect in the entries not read. */
function decisionOf(options: AppenderOptions, one: Sent): Decided | undefined {
    const decision = one.decision ?? options.folded().decisions.get(one.record.id);
    if (decision === undefined) {
        return undefined;
    }
    return decision.issue?.code === "stale_basis" && one.jumps !== options.jumps()
        ? Err({ kind: "ambiguous", message: "the decision is in entries that were not read" })
        : Ok(decision);
}

/** Sends until the signal aborts. Returns a failure only if no copy can be in the log and the log is not back soon. */
async function sendUntil(
    options: AppenderOptions,
    one: Sent,
    signal: AbortSignal,
    deadlineAt: number,
): Promise<AppendFailure | undefined> {
    for (let attempt = 0; !signal.aborted; attempt += 1) {
        const failure = await send(options, one);
        const comesBack = failure?.retryAfterMilliseconds !== undefined
            && options.clock.monotonic() + failure.retryAfterMilliseconds < deadlineAt;
        if (failure?.kind === "refused" && !mayArrive(one) && !comesBack) {
            return failure;
        }
        const delay = jitteredDelay(
            attempt,
            RESEND_BASE_MILLISECONDS,
            RESEND_MAXIMUM_MILLISECONDS,
            options.random(),
        );
        const least = failure === undefined ? READ_BACK_MILLISECONDS : failure.retryAfterMilliseconds ?? 0;
        await sleep(Math.max(delay, least), signal);
    }
    return undefined;
}

async function send(options: AppenderOptions, one: Sent): Promise<AppendFailure | undefined> {
    const blocked = options.blocked();
    if (blocked !== undefined) {
        return { kind: "refused", message: blocked };
    }
    one.underway += 1;
    const result = await options.log.append(options.stream, one.record);
    one.underway -= 1;
    one.logged ||= result.ok || result.val.kind === "ambiguous";
    if (result.err) {
        return result.val;
    }
    options.expect(result.val);
    return undefined;
}
