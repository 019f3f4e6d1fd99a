/** Waits on the global timers, which tests replace. */

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
 * Returns a jittered exponential delay in milliseconds: between half of it and the whole. `random` is from 0 to 1.
 * Without jitter all daemons would come back to the platform at the same moment after an outage.
 */
export function jitteredDelay(failures: number, base: number, maximum: number, random: number): number {
    const delay = Math.min(maximum, base * 2 ** Math.min(failures, 16));
    return delay / 2 + delay / 2 * random;
}
