/** Appends records to a stream and resends them with the same id until their decision is read back. */
import { type Author, type Decision, type FoldState, type LogRecord, RECORD_VERSION } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../ports/clock.js";
import type { PlatformLog } from "../ports/platformlog.js";
import type { AppendFailure } from "../ports/stream.js";
import { jitteredDelay, sleep } from "./sleep.js";

/** Options of an appender. */
export interface AppenderOptions {
    readonly stream: string;
    readonly author: Author;
    readonly log: PlatformLog;
    readonly clock: Clock;
    /** Returns numbers from 0 to 1. */
    readonly random: () => number;
    readonly folded: () => FoldState<unknown>;
    /** Returns how often the state was replaced by a snapshot or a peer's state, which skips the entries between. */
    readonly replacements: () => number;
    /** Returns why appends are not possible now, or `undefined` if they are. */
    readonly blockedReason: () => string | undefined;
    /** Reports the offset of an entry that is in the log, so that an open read that does not return it is replaced. */
    readonly expect: (offset: number) => void;
}

/** Appender of one stream. */
export interface Appender {
    append(
        body: unknown,
        options: { readonly id?: string; readonly timeoutMilliseconds: number; },
    ): Promise<Result<Decision, AppendFailure>>;
    /** Must be called after each change of the state, which may contain decisions of pending records. */
    stateChanged(): void;
    /** Ends all waits; appends of records that may take effect fail as ambiguous. */
    stop(): void;
}

/** Undecided record. Copies keep its basis, so that none is accepted after its id has left the deduplication window. */
interface PendingRecord {
    readonly record: LogRecord;
    readonly replacements: number;
    /** Copies that the log has not answered yet. */
    copiesInFlight: number;
    /** Whether an answer was lost or the log returned an offset. */
    mayBeLogged: boolean;
    /** First decision that was read. A copy after the deduplication window gets another one, which does not count. */
    decision?: Decision;
}

type AppendResult = Result<Decision, AppendFailure>;

const RESEND_BASE_MILLISECONDS = 50;
const RESEND_MAXIMUM_MILLISECONDS = 1_000;
/** How long a record that the log accepted may be missing from the reads before it is sent again. */
const READ_BACK_TIMEOUT_MILLISECONDS = 500;
/** Undecided records kept for retries with the same id; the oldest are dropped first. */
const MAXIMUM_PENDING_RECORDS = 4_096;

/** Creates the appender. */
export function createAppender(options: AppenderOptions): Appender {
    const { author, folded } = options;
    const pendingRecords = new Map<string, PendingRecord>();
    const waitingChecks = new Set<() => void>();
    const stopped = new AbortController();
    let counter = 0;

    const prepare = (body: unknown, id: string): PendingRecord => {
        const record = { version: RECORD_VERSION, id, author, basis: folded().nextOffset, body };
        const pending = pendingRecords.get(id)
            ?? { record, replacements: options.replacements(), copiesInFlight: 0, mayBeLogged: false };
        pendingRecords.set(id, pending);
        [...pendingRecords.keys()].slice(0, Math.max(0, pendingRecords.size - MAXIMUM_PENDING_RECORDS)).forEach(
            oldest => pendingRecords.delete(oldest),
        );
        return pending;
    };

    const waitFor = (pending: PendingRecord, timeoutMilliseconds: number): Promise<AppendResult> =>
        new Promise(resolve => {
            const ended = new AbortController();
            const end = (result: AppendResult) => {
                clearTimeout(timer);
                stopped.signal.removeEventListener("abort", expire);
                waitingChecks.delete(check);
                ended.abort();
                resolve(result);
            };
            const expire = () => {
                end(Err({
                    kind: mayTakeEffect(pending) ? "ambiguous" : "refused",
                    message: "no decision was read in time",
                }));
            };
            const check = () => {
                const result = decisionOf(options, pending);
                if (result !== undefined) {
                    end(result);
                }
            };
            const timer = setTimeout(expire, timeoutMilliseconds);
            stopped.signal.addEventListener("abort", expire, { once: true });
            waitingChecks.add(check);
            const deadlineAt = options.clock.monotonic() + timeoutMilliseconds;
            void sendUntilAborted(options, pending, ended.signal, deadlineAt).then(failure => {
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
            const pending = prepare(body, id);
            const result = decisionOf(options, pending) ?? await waitFor(pending, timeoutMilliseconds);
            if (result.ok || !mayTakeEffect(pending)) {
                pendingRecords.delete(id);
            }
            return result;
        },
        stateChanged: () => {
            pendingRecords.forEach(pending => {
                pending.decision ??= folded().decisions.get(pending.record.id);
            });
            [...waitingChecks].forEach(check => check());
        },
        stop: () => stopped.abort(),
    };
}

function mayTakeEffect({ copiesInFlight, mayBeLogged }: PendingRecord): boolean {
    return copiesInFlight > 0 || mayBeLogged;
}

/**
 * Returns the decision, if it is known. A stale basis that is read after the state was replaced does not show whether an
 * earlier copy took effect in the entries that were skipped.
 */
function decisionOf(options: AppenderOptions, pending: PendingRecord): AppendResult | undefined {
    const decision = pending.decision ?? options.folded().decisions.get(pending.record.id);
    if (decision === undefined) {
        return undefined;
    }
    return decision.issue?.code === "stale_basis" && pending.replacements !== options.replacements()
        ? Err({ kind: "ambiguous", message: "the decision is in entries that were not read" })
        : Ok(decision);
}

/**
 * Sends the record until the signal aborts. Returns a failure only if no copy can be in the log and the log does not
 * accept one again before the deadline.
 */
async function sendUntilAborted(
    options: AppenderOptions,
    pending: PendingRecord,
    signal: AbortSignal,
    deadlineAt: number,
): Promise<AppendFailure | undefined> {
    for (let attempt = 0; !signal.aborted; attempt += 1) {
        const failure = await send(options, pending);
        const recoversInTime = failure?.retryAfterMilliseconds !== undefined
            && options.clock.monotonic() + failure.retryAfterMilliseconds < deadlineAt;
        if (failure?.kind === "refused" && !mayTakeEffect(pending) && !recoversInTime) {
            return failure;
        }
        const delay = jitteredDelay(
            attempt,
            RESEND_BASE_MILLISECONDS,
            RESEND_MAXIMUM_MILLISECONDS,
            options.random(),
        );
        const minimumDelay = failure === undefined
            ? READ_BACK_TIMEOUT_MILLISECONDS
            : failure.retryAfterMilliseconds ?? 0;
        await sleep(Math.max(delay, minimumDelay), signal);
    }
    return undefined;
}

async function send(options: AppenderOptions, pending: PendingRecord): Promise<AppendFailure | undefined> {
    const blockedReason = options.blockedReason();
    if (blockedReason !== undefined) {
        return { kind: "refused", message: blockedReason };
    }
    pending.copiesInFlight += 1;
    const result = await options.log.append(options.stream, pending.record);
    pending.copiesInFlight -= 1;
    pending.mayBeLogged ||= result.ok || result.val.kind === "ambiguous";
    if (result.err) {
        return result.val;
    }
    options.expect(result.val);
    return undefined;
}
