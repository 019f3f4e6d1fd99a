/** Continuous batch of the engine stand-in: queue with priorities, one token for each running attempt a tick. */
import type { Journal, JournalEntry } from "../shared/journal.js";
import { blockHashes, type ChatRequest } from "./answer.js";
import type { PrefixCache } from "./cache.js";
import { type Answer, createAnswer } from "./chunks.js";

/** Size and speed of the batch. */
export interface BatchOptions {
    readonly size: number;
    readonly queueLength: number;
    /** Prefill time of one block that is not cached. */
    readonly blockMilliseconds: number;
    /** How long a finished attempt can still be read, and how long an unfinished one runs without a reader. */
    readonly retainMilliseconds: number;
}

/** State of an attempt. */
export type AttemptState = "queued" | "running" | "done" | "cancelled" | "broken";

/** One attempt. Readers are called after each change. */
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
    /** When the last reader left, or the attempt ended. */
    idleSince: number;
}

/** Identity of a new attempt. */
export interface AttemptRequest {
    readonly id: string;
    readonly priority: number;
    readonly chat: ChatRequest;
    readonly bodyHash: string;
    readonly group: string;
    readonly fence: number;
}

/** Batch of one engine. */
export interface Batch {
    /** Returns undefined when the queue is full or the id was used before. */
    start(request: AttemptRequest, now: number): Attempt | undefined;
    find(id: string): Attempt | undefined;
    cancel(id: string): boolean;
    /** Breaks off everything in progress. */
    abortAll(): void;
    tick(now: number): void;
    load(): { readonly running: number; readonly queued: number; };
}

/** Makes an empty batch. */
export function createBatch(options: BatchOptions, cache: PrefixCache, journal: Journal): Batch {
    const attempts = new Map<string, Attempt>();
    let queued: Attempt[] = [];
    let running: Attempt[] = [];

    const end = (attempt: Attempt, state: AttemptState): void => {
        attempt.state = state;
        attempt.idleSince = Date.now();
        journal.finish(attempt.entry, state);
        queued = queued.filter(other => other !== attempt);
        running = running.filter(other => other !== attempt);
        notify(attempt);
    };
    const fill = (now: number): void => {
        const starting = queued.slice(0, Math.max(0, options.size - running.length));
        queued = queued.slice(starting.length);
        starting.forEach(attempt => {
            const missing = attempt.hashes.length - cache.lookUpAndStore(attempt.hashes, now);
            Object.assign(attempt, { state: "running", prefillUntil: now + missing * options.blockMilliseconds });
        });
        running.push(...starting);
    };
    const sweep = (now: number): void => {
        [...attempts.values()].filter(attempt => isAbandoned(attempt, options, now)).forEach(attempt => {
            if (isOpen(attempt)) {
                end(attempt, "cancelled");
            }
            attempts.delete(attempt.id);
        });
    };
    let sweptAt = 0;

    return {
        start: (request, now) => {
            if (attempts.has(request.id) || running.length + queued.length >= options.size + options.queueLength) {
                return undefined;
            }
            const attempt = createAttempt(request, journal, now);
            attempts.set(attempt.id, attempt);
            queued = [...queued, attempt].sort((one, other) => other.priority - one.priority);
            fill(now);
            return attempt;
        },
        find: id => attempts.get(id),
        cancel: id => {
            const attempt = attempts.get(id);
            if (attempt === undefined || !isOpen(attempt)) {
                return false;
            }
            end(attempt, "cancelled");
            return true;
        },
        abortAll: () => [...running, ...queued].forEach(attempt => end(attempt, "broken")),
        tick: now => {
            fill(now);
            running.filter(({ prefillUntil }) => prefillUntil <= now).forEach(attempt => {
                attempt.produced += 1;
                if (attempt.produced >= attempt.answer.tokens.length) {
                    end(attempt, "done");
                }
                else {
                    notify(attempt);
                }
            });
            if (now - sweptAt > 1000) {
                sweptAt = now;
                sweep(now);
            }
        },
        load: () => ({ running: running.length, queued: queued.length }),
    };
}

function isOpen({ state }: Attempt): boolean {
    return state === "queued" || state === "running";
}

function isAbandoned({ readers, idleSince }: Attempt, options: BatchOptions, now: number): boolean {
    return readers.size === 0 && now - idleSince > options.retainMilliseconds;
}

function notify({ readers }: Attempt): void {
    [...readers].forEach(read => read());
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
