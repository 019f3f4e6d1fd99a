/**
 * Account of what a daemon holds for its callers: bytes of requests and responses, requests and connections, by connection and
 * in all. It addresses callers that make a daemon hold more than its memory, and decides which connection is closed for the others.
 * Times are monotonic milliseconds.
 */

/** What one connection makes the daemon hold, apart from the connection itself. */
export interface HeldForCaller {
    /** Bytes that were read and not parsed yet. */
    readonly inputBytes: number;
    /** Memory of bodies, with what their pieces cost. */
    readonly bodyBytes: number;
    /** Bytes of responses that the caller has not taken. */
    readonly outputBytes: number;
    /** Requests whose response is open. */
    readonly requests: number;
}

/** Whether memory may be used: now, once there is room, or not at all. */
export type ReservationResult = "granted" | "wait" | "refused";

/** Account of all connections of a daemon. */
export interface CallerAccount<Id> {
    open(id: Id, now: number): void;
    close(id: Id): void;
    /** Changes what a connection holds, whether there is room or not. */
    update(id: Id, held: Partial<HeldForCaller>): void;
    /** States that the caller advanced: it sent a part of its request, or took a part of its response. */
    recordProgress(id: Id, now: number): void;
    /** States whether a target may run a request of the connection, which is then not closed while its response is taken. */
    setRunning(id: Id, isRunning: boolean): void;
    /** Reserves memory for bodies of a connection, `bytes` in all. */
    reserveBody(id: Id, bytes: number): ReservationResult;
    /** Returns the connection that is closed next, if more is held than the bound or than the given smaller amount. */
    nextToClose(now: number, mostBytes?: number): Id | undefined;
    /** Bytes that all connections cost. */
    totalBytes(): number;
    connections(): number;
    /** What a connection costs. */
    bytesOf(id: Id): number;
}

/** Bounds of an account. */
export interface CallerBounds {
    /** Bytes that all connections may cost. */
    readonly bytes: number;
    /** Bytes above which bodies larger than `smallBytes` wait, which leaves the rest to ordinary requests. */
    readonly waitBytes: number;
    readonly smallBytes: number;
    readonly connections: number;
}

/**
 * Share of the memory that is held for callers. V8 collects the buffers of reads only once they take 64 MB, and the process itself
 * takes 80 to 110 MB, which leaves 30 MB of 250 MB for callers and as much for the rest.
 */
const MEMORY_SHARE = 0.12;
/** A single body within the usual limit of 4 MiB fits twice, since it is copied once when it is whole. */
const LEAST_BYTES = 16_777_216;
const WAIT_SHARE = 0.875;
const SMALL_BYTES = 65_536;
const BYTES_PER_MEGABYTE = 1_048_576;
/** 2,000 connections with 250 MB, whose hosts have at least 4,100 descriptors, of which targets need some. */
const CONNECTIONS_PER_MEGABYTE = 8;

/** What Node's objects of a connection and of a request take, rounded up. */
const CONNECTION_BYTES = 8_192;
const REQUEST_BYTES = 8_192;
/** A caller that takes no byte of its response for this long makes no progress. */
const UNTAKEN_MILLISECONDS = 1_000;
/** Added to the time without progress, so that among callers that all advance the largest is closed first. */
const LEAST_STALL_MILLISECONDS = 100;

/** Returns the bounds that follow from the memory of the daemon. */
export function callerBoundsFor(memoryMegabytes: number): CallerBounds {
    const bytes = Math.max(LEAST_BYTES, memoryMegabytes * BYTES_PER_MEGABYTE * MEMORY_SHARE);
    return {
        bytes,
        waitBytes: bytes * WAIT_SHARE,
        smallBytes: SMALL_BYTES,
        connections: Math.ceil(memoryMegabytes * CONNECTIONS_PER_MEGABYTE),
    };
}

interface Entry extends HeldForCaller {
    readonly isRunning: boolean;
    readonly progressAt: number;
}

/** Creates an account without connections. */
export function createCallerAccount<Id>(bounds: CallerBounds): CallerAccount<Id> {
    const entries = new Map<Id, Entry>();
    let total = 0;
    const change = (id: Id, changes: Partial<Entry>): void => {
        const entry = entries.get(id);
        if (entry !== undefined) {
            const before = costOf(entry);
            Object.assign(entry, changes);
            total += costOf(entry) - before;
        }
    };
    const close = (id: Id): void => {
        const entry = entries.get(id);
        if (entry !== undefined) {
            total -= costOf(entry);
            entries.delete(id);
        }
    };
    return {
        open: (id, now) => {
            close(id);
            const entry = {
                inputBytes: 0,
                bodyBytes: 0,
                outputBytes: 0,
                requests: 0,
                isRunning: false,
                progressAt: now,
            };
            entries.set(id, entry);
            total += costOf(entry);
        },
        close,
        update: change,
        recordProgress: (id, now) => change(id, { progressAt: now }),
        setRunning: (id, isRunning) => change(id, { isRunning }),
        reserveBody: (id, bytes) => {
            const entry = entries.get(id);
            if (entry === undefined || bytes > bounds.waitBytes) {
                return "refused";
            }
            const after = total + bytes - entry.bodyBytes;
            if (bytes > bounds.smallBytes && after > bounds.waitBytes) {
                return "wait";
            }
            change(id, { bodyBytes: bytes });
            return "granted";
        },
        nextToClose: (now, mostBytes = bounds.bytes) => {
            if (entries.size > bounds.connections) {
                return worstOf(entries, now, 0);
            }
            // An idle connection would give no memory back.
            return total > mostBytes ? worstOf(entries, now, CONNECTION_BYTES) : undefined;
        },
        totalBytes: () => total,
        connections: () => entries.size,
        bytesOf: id => {
            const entry = entries.get(id);
            return entry === undefined ? 0 : costOf(entry);
        },
    };
}

/** Returns the connection with the largest product of what it holds and of the time for which it has made no progress. */
function worstOf<Id>(entries: ReadonlyMap<Id, Entry>, now: number, moreThanBytes: number): Id | undefined {
    let worst: Id | undefined;
    let highest = 0;
    entries.forEach((entry, id) => {
        const cost = costOf(entry);
        const score = cost * (now - entry.progressAt + LEAST_STALL_MILLISECONDS);
        if (score > highest && cost > moreThanBytes && mayClose(entry, now)) {
            highest = score;
            worst = id;
        }
    });
    return worst;
}

/** A request that a target may run gets its response, unless its caller does not take it. */
function mayClose({ isRunning, outputBytes, progressAt }: Entry, now: number): boolean {
    return !isRunning || (outputBytes > 0 && now - progressAt >= UNTAKEN_MILLISECONDS);
}

function costOf({ inputBytes, bodyBytes, outputBytes, requests }: HeldForCaller): number {
    return CONNECTION_BYTES + REQUEST_BYTES * requests + inputBytes + bodyBytes + outputBytes;
}
