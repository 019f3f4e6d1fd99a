/** Ends the server for callers without cutting off requests. */
import type { Server } from "node:http";
import type { ConnectionLimits } from "./connectionlimits.js";

/** The platform takes a daemon out of rotation after two failed readiness checks, one per second. */
const LEAVE_ROTATION_MILLISECONDS = 2_600;
/** The process exits this long before the platform would kill it, or a shorter grace time's share of it. */
const EXIT_MARGIN_MILLISECONDS = 400;
/** A target may still run a request in this last share of the grace time, whatever is left of it. */
const EXIT_MARGIN_SHARE = 1 / 6;
/** Parts of the exit margin: the interval of checks, and the time for the responses that end requests early to be sent. */
const CHECK_SHARE = 1 / 8;
const FLUSH_SHARE = 3 / 8;
/** From this share of the time until the end on, a daemon with a short grace time refuses what may last longer. */
const REFUSAL_SHARE = 1 / 2;

/** Requests in progress of a server that is drained. */
export interface DrainedRequests {
    /** Whether there are none, and none is on its way. */
    readonly isIdle: () => boolean;
    /** Ends those that are left at the end of the grace time. */
    readonly endAll: () => void;
}

/** Times of a shutdown, in milliseconds from its beginning unless they are lengths. */
export interface ShutdownTimes {
    /** From when on requests are refused that may last longer than the daemon. */
    readonly refusesAfter: number;
    /** When the platform sends no new connections any more, or when the daemon ends if that is earlier. */
    readonly stopsListeningAfter: number;
    /** When the requests that are left are ended. */
    readonly endsAfter: number;
    /** When the process exits, although responses that end requests early may not have been sent. */
    readonly exitsAfter: number;
    /** Length of the interval between two checks. */
    readonly checkInterval: number;
}

/** What is drained. */
export interface DrainedServer {
    readonly server: Pick<Server, "close">;
    readonly connections: Pick<ConnectionLimits, "acceptWaiting" | "closeIdle" | "closeUnused">;
}

/**
 * Returns the times of a shutdown; the platform kills the process after `shutdownMilliseconds`. A grace time that is shorter
 * than the time in which callers are still sent to this daemon leaves a time for refusals and for the end as well.
 */
export function shutdownTimesOf(shutdownMilliseconds: number): ShutdownTimes {
    const exitMargin = Math.min(EXIT_MARGIN_MILLISECONDS, EXIT_MARGIN_SHARE * shutdownMilliseconds);
    const endsAfter = shutdownMilliseconds - exitMargin;
    return {
        refusesAfter: Math.min(LEAVE_ROTATION_MILLISECONDS, REFUSAL_SHARE * endsAfter),
        stopsListeningAfter: Math.min(LEAVE_ROTATION_MILLISECONDS, endsAfter),
        endsAfter,
        exitsAfter: endsAfter + FLUSH_SHARE * exitMargin,
        checkInterval: CHECK_SHARE * exitMargin,
    };
}

/**
 * Goes on listening until the daemon has left the rotation or must end, and then waits for requests in progress. Resolves when the
 * process may exit, at the latest shortly before it would be killed; no request is read any more then.
 */
export async function drain(
    { server, connections }: DrainedServer,
    { isIdle, endAll }: DrainedRequests,
    { stopsListeningAfter, endsAfter, exitsAfter, checkInterval }: ShutdownTimes,
): Promise<void> {
    const startedAt = performance.now();
    const endsAt = startedAt + endsAfter;
    const exitsAt = startedAt + exitsAfter;
    const checkUntil = (time: number, condition: () => boolean): Promise<void> => poll(condition, checkInterval, time);
    // A timer of its own, because connections may still be waiting to be accepted at this time.
    let isEnded = false;
    const endTimer = setTimeout(() => {
        isEnded = true;
        endAll();
    }, Math.ceil(endsAfter));
    await waitUntil(startedAt + stopsListeningAfter);
    await connections.acceptWaiting(exitsAt);
    server.close();
    do {
        await checkUntil(endsAt, () => {
            // The response of a connection that has just become idle may have begun before the shutdown, without telling
            // the caller to close it.
            connections.closeIdle();
            return isIdle();
        });
        // The last bytes of responses take time to be sent, in which a connection that is open may bring a request.
        await waitUntil(Math.min(endsAt, performance.now() + checkInterval));
    }
    while (!isIdle() && performance.now() < endsAt);
    if (isEnded || !isIdle()) {
        await checkUntil(exitsAt, isIdle);
    }
    clearTimeout(endTimer);
    connections.closeUnused();
}

/** Waits until a monotonic time. */
function waitUntil(time: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, time - performance.now())));
}

/** Checks a condition at the end of each interval, until it holds or a monotonic time is reached. */
async function poll(condition: () => boolean, interval: number, until: number): Promise<void> {
    do {
        await waitUntil(Math.min(until, performance.now() + interval));
    }
    while (!condition() && performance.now() < until);
}
