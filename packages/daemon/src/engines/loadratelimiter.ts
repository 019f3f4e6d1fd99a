/** Token bucket for loads from the weight store, so that this daemon stays within its share of the rate. */

/** Rate limiter of one daemon. `now` is in monotonic milliseconds. */
export interface LoadRateLimiter {
    /** Loads that may start now, at a rate in loads a second. */
    available(perSecond: number, now: number): number;
    /** Takes one load. */
    take(): void;
}

/** Loads that may start at once after an idle period. */
const BURST_LOADS = 3;

/** Creates a rate limiter with a full bucket. */
export function createLoadRateLimiter(): LoadRateLimiter {
    let tokens = BURST_LOADS;
    let refilledAt: number | undefined;
    return {
        available: (perSecond, now) => {
            tokens = Math.min(BURST_LOADS, tokens + (now - (refilledAt ?? now)) * perSecond / 1_000);
            refilledAt = now;
            return Math.floor(tokens);
        },
        take: () => {
            tokens -= 1;
        },
    };
}
