/** Ends the server for callers without cutting off requests. */
import type { Server } from "node:http";

/** The platform takes a daemon out of rotation after two failed readiness checks, one per second. */
const LEAVE_ROTATION_MILLISECONDS = 2_600;
/** The process exits this long before the platform would kill it. */
const EXIT_MARGIN_MILLISECONDS = 400;
const IDLE_CHECK_MILLISECONDS = 50;
/** Time for the responses that end requests early to be sent. */
const FLUSH_MILLISECONDS = 150;

/** Requests in progress of a server that is drained. */
export interface DrainedRequests {
    /** Whether there are none. */
    readonly isIdle: () => boolean;
    /** Ends those that are left at the end of the grace time. */
    readonly endAll: () => void;
}

/**
 * Goes on listening until the daemon has left the rotation, and then waits for requests in progress. Resolves when the
 * process may exit, at the latest shortly before it would be killed.
 */
export async function drain(
    server: Server,
    { isIdle, endAll }: DrainedRequests,
    shutdownMilliseconds: number,
): Promise<void> {
    const startedAt = performance.now();
    await waitUntil(() => performance.now() - startedAt > LEAVE_ROTATION_MILLISECONDS);
    server.close();
    await waitUntil(() => {
        // The response of a connection that has just become idle may have begun before the shutdown, without telling the
        // caller to close it.
        server.closeIdleConnections();
        return isIdle() || performance.now() - startedAt > shutdownMilliseconds - EXIT_MARGIN_MILLISECONDS;
    });
    if (!isIdle()) {
        endAll();
        const flushedAt = performance.now() + FLUSH_MILLISECONDS;
        await waitUntil(() => isIdle() || performance.now() > flushedAt);
    }
    await closeAfterFlush(server);
}

/** Closes idle connections and gives the last bytes of responses time to be sent before the process exits. */
async function closeAfterFlush(server: Server): Promise<void> {
    server.closeIdleConnections();
    await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MILLISECONDS));
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
