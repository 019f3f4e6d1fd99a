/** Token bucket: a rate limit with a bounded burst. */

/** Bucket that refills at `rate` units per second up to its capacity. Its level may be negative after a correction. */
export interface TokenBucket {
    /** Changes rate and capacity. The level is kept, but capped at the new capacity. */
    configure(rate: number, capacity: number, now: number): void;
    level(now: number): number;
    /** Takes units, or returns them if `units` is negative. */
    take(units: number, now: number): void;
    /**
     * Returns the milliseconds until the bucket holds `units` after `unitsAhead` units have been taken. `units` is
     * capped at the bucket's capacity.
     */
    waitMilliseconds(unitsAhead: number, units: number, now: number): number;
    /** Whether the bucket holds `units` now. `units` is capped at the bucket's capacity. */
    canTake(units: number, now: number): boolean;
}

/** Creates a full bucket. */
export function createTokenBucket(rate: number, capacity: number, now: number): TokenBucket {
    let limits = { rate, capacity };
    let amount = capacity;
    let updatedAt = now;

    const level = (at: number): number => {
        const elapsed = Math.max(0, at - updatedAt);
        amount = Math.min(limits.capacity, amount + elapsed * limits.rate / 1_000);
        updatedAt = Math.max(updatedAt, at);
        return amount;
    };
    const waitMilliseconds = (unitsAhead: number, units: number, at: number): number => {
        const missing = unitsAhead + Math.min(units, limits.capacity) - level(at);
        return missing <= 0 ? 0 : missing * 1_000 / limits.rate;
    };

    return {
        configure: (nextRate, nextCapacity, at) => {
            level(at);
            limits = { rate: nextRate, capacity: nextCapacity };
            amount = Math.min(amount, nextCapacity);
        },
        level,
        take: (units, at) => {
            amount = Math.min(limits.capacity, level(at) - units);
        },
        waitMilliseconds,
        // A wait below a microsecond is a rounding error of the refill and must not delay a request.
        canTake: (units, at) => waitMilliseconds(0, units, at) < 0.001,
    };
}
