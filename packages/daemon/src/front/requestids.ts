/** Ids of requests: unique across daemons and restarts, and starting with the name of the daemon. */

/** Makes a source of ids. */
export function createRequestIds(daemon: string, incarnation: string): () => string {
    let count = 0;
    return () => {
        count += 1;
        return `${daemon}-${incarnation}-${count.toString(36)}`;
    };
}
