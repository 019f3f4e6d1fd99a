/** Request ids, which are unique across daemons and restarts and start with the name of the daemon. */

/** Creates a generator of request ids. */
export function createRequestIds(daemon: string, incarnation: string): () => string {
    let count = 0;
    return () => {
        count += 1;
        return `${daemon}-${incarnation}-${count.toString(36)}`;
    };
}
