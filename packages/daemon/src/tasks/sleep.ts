/** Delays on the global timers, which tests replace by fake timers. */

/** Resolves after a time in milliseconds, or earlier when the signal aborts. */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal?.aborted === true) {
            resolve();
            return;
        }
        const finish = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, milliseconds);
        signal?.addEventListener("abort", finish, { once: true });
    });
}

/**
 * Returns an exponential backoff delay with jitter, in milliseconds: between half of the delay and the whole. `random`
 * is from 0 to 1. Without jitter all daemons would retry at the same moment after an outage of the platform.
 */
export function jitteredDelay(failures: number, base: number, maximum: number, random: number): number {
    const delay = Math.min(maximum, base * 2 ** Math.min(failures, 16));
    return delay / 2 + delay / 2 * random;
}
