/**
 * Continuous batching of the engine stand-in: a priority queue, and one token for each running attempt on each tick.
 */
import type { Journal, JournalEntry } from "../shared/journal.js";
import { blockHashes, type ChatRequest } from "./answer.js";
import type { PrefixCache } from "./cache.js";
import { type Answer, createAnswer } from "./chunks.js";

/** Limits and timing of the batch. */
export interface BatchOptions {
    readonly size: number;
    readonly queueLength: number;
    /** Prefill time of each prompt block that is not cached. */
    readonly blockMilliseconds: number;
    /** How long a finished attempt is retained, and how long an unfinished attempt runs without a reader. */
    readonly retainMilliseconds: number;
}

/** State of an attempt. */
export type AttemptState = "queued" | "running" | "done" | "cancelled" | "broken";

/** Attempt held by the engine. `readers` are called after each change. */
export interface Attempt {
    readonly id: string;
    readonly priority: number;
    readonly answer: Answer;
    readonly hashes: readonly string[];
    readonly entry: JournalEntry;
    readonly readers: Set<() => void>;
    state: AttemptState;
    produced: number;
    prefillUntil: number;
    /** Time at which the last reader disconnected or the attempt ended, in wall clock milliseconds. */
    idleSince: number;
}

/** Parameters of a new attempt. */
export interface AttemptRequest {
    readonly id: string;
    readonly priority: number;
    readonly chat: ChatRequest;
    readonly bodyHash: string;
    readonly group: string;
    readonly fence: number;
}

/** Batch of one engine. All times are wall clock milliseconds. */
export interface Batch {
    /** Queues an attempt. Returns undefined if the queue is full or the id was used before. */
    start(request: AttemptRequest, now: number): Attempt | undefined;
    find(id: string): Attempt | undefined;
    cancel(id: string, now: number): boolean;
    /** Aborts all queued and running attempts with the state `broken`. */
    abortAll(now: number): void;
    tick(now: number): void;
    load(): { readonly running: number; readonly queued: number; };
}

/** Creates an empty batch. */
export function createBatch(options: BatchOptions, cache: PrefixCache, journal: Journal): Batch {
    const attempts = new Map<string, Attempt>();
    let queued: Attempt[] = [];
    let running: Attempt[] = [];

    const finishAttempt = (attempt: Attempt, state: AttemptState, now: number): void => {
        attempt.state = state;
        attempt.idleSince = now;
        journal.finish(attempt.entry, state);
        queued = queued.filter(other => other !== attempt);
        running = running.filter(other => other !== attempt);
        notify(attempt);
    };
    const startQueued = (now: number): void => {
        const starting = queued.slice(0, Math.max(0, options.size - running.length));
        queued = queued.slice(starting.length);
        starting.forEach(attempt => {
            const missing = attempt.hashes.length - cache.lookUpAndStore(attempt.hashes, now);
            Object.assign(attempt, { state: "running", prefillUntil: now + missing * options.blockMilliseconds });
        });
        running.push(...starting);
    };
    const removeExpired = (now: number): void => {
        [...attempts.values()].filter(attempt => isExpired(attempt, options, now)).forEach(attempt => {
            if (isUnfinished(attempt)) {
                finishAttempt(attempt, "cancelled", now);
            }
            attempts.delete(attempt.id);
        });
    };
    let lastSweepAt = 0;

    return {
        start: (request, now) => {
            if (attempts.has(request.id) || running.length + queued.length >= options.size + options.queueLength) {
                return undefined;
            }
            const attempt = createAttempt(request, journal, now);
            attempts.set(attempt.id, attempt);
            queued = [...queued, attempt].sort((one, other) => other.priority - one.priority);
            startQueued(now);
            return attempt;
        },
        find: id => attempts.get(id),
        cancel: (id, now) => {
            const attempt = attempts.get(id);
            if (attempt === undefined || !isUnfinished(attempt)) {
                return false;
            }
            finishAttempt(attempt, "cancelled", now);
            return true;
        },
        abortAll: now => [...running, ...queued].forEach(attempt => finishAttempt(attempt, "broken", now)),
        tick: now => {
            startQueued(now);
            running.filter(({ prefillUntil }) => prefillUntil <= now).forEach(attempt => {
                attempt.produced += 1;
                if (attempt.produced >= attempt.answer.tokens.length) {
                    finishAttempt(attempt, "done", now);
                }
                else {
                    notify(attempt);
                }
            });
            if (now - lastSweepAt > 1000) {
                lastSweepAt = now;
                removeExpired(now);
            }
        },
        load: () => ({ running: running.length, queued: queued.length }),
    };
}

function isUnfinished({ state }: Attempt): boolean {
    return state === "queued" || state === "running";
}

function isExpired({ readers, idleSince }: Attempt, options: BatchOptions, now: number): boolean {
    return readers.size === 0 && now - idleSince > options.retainMilliseconds;
}

function notify({ readers }: Attempt): void {
    [...readers].forEach(reader => reader());
}

function createAttempt(request: AttemptRequest, journal: Journal, now: number): Attempt {
    const { id, priority, chat, bodyHash, group, fence } = request;
    return {
        id,
        priority,
        answer: createAnswer(id, chat),
        hashes: blockHashes(chat),
        entry: journal.start("attempt", { attempt: id, bodyHash, group, fence, detail: { priority } }),
        readers: new Set(),
        state: "queued",
        produced: 0,
        prefillUntil: 0,
        idleSince: now,
    };
}
