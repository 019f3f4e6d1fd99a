/** Ends the server for callers without cutting off requests. */
import type { Server } from "node:http";
import type { ConnectionLimits } from "./connectionlimits.js";

/** The platform takes a daemon out of rotation after two failed readiness checks, one per second. */
const LEAVE_ROTATION_MILLISECONDS = 2_600;
/** The process exits this long before the platform would kill it. */
const EXIT_MARGIN_MILLISECONDS = 400;
const IDLE_CHECK_MILLISECONDS = 50;
/** Time for the responses that end requests early to be sent. */
const FLUSH_MILLISECONDS = 150;

/** Requests in progress of a server that is drained. */
export interface DrainedRequests {
    /** Whether there are none, and none is on its way. */
    readonly isIdle: () => boolean;
    /** Ends those that are left at the end of the grace time. */
    readonly endAll: () => void;
}

/** Times of a shutdown, in milliseconds from its beginning. */
export interface ShutdownTimes {
    /** When the platform sends no new connections any more. */
    readonly leavesRotationAfter: number;
    /** When the requests that are left are ended. */
    readonly endsAfter: number;
}

/** What is drained. */
export interface DrainedServer {
    readonly server: Pick<Server, "close">;
    readonly connections: Pick<ConnectionLimits, "closeIdle" | "closeUnused">;
}

/** Returns the times of a shutdown; the platform kills the process after `shutdownMilliseconds`. */
export function shutdownTimesOf(shutdownMilliseconds: number): ShutdownTimes {
    return {
        leavesRotationAfter: LEAVE_ROTATION_MILLISECONDS,
        endsAfter: shutdownMilliseconds - EXIT_MARGIN_MILLISECONDS,
    };
}

/**
 * Goes on listening until the daemon has left the rotation, and then waits for requests in progress. Resolves when the
 * process may exit, at the latest shortly before it would be killed; no request is read any more then.
 */
export async function drain(
    { server, connections }: DrainedServer,
    { isIdle, endAll }: DrainedRequests,
    { leavesRotationAfter, endsAfter }: ShutdownTimes,
): Promise<void> {
    const startedAt = performance.now();
    const mustEnd = (): boolean => performance.now() - startedAt > endsAfter;
    await waitUntil(() => performance.now() - startedAt > leavesRotationAfter);
    server.close();
    do {
        await waitUntil(() => {
            // The response of a connection that has just become idle may have begun before the shutdown, without telling
            // the caller to close it.
            connections.closeIdle();
            return isIdle() || mustEnd();
        });
        // The last bytes of responses take time to be sent, in which a connection that is open may bring a request.
        await wait(IDLE_CHECK_MILLISECONDS);
    }
    while (!isIdle() && !mustEnd());
    if (!isIdle()) {
        endAll();
        const flushedAt = performance.now() + FLUSH_MILLISECONDS;
        await waitUntil(() => isIdle() || performance.now() > flushedAt);
    }
    connections.closeUnused();
}

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function waitUntil(condition: () => boolean): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => {
            if (condition()) {
                clearInterval(timer);
                resolve();
            }
        }, IDLE_CHECK_MILLISECONDS);
    });
}
