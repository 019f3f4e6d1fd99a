/** Token bucket: a rate with a bounded burst. */

/** Bucket that refills with `rate` units a second up to its capacity. Its level may be negative after a settlement. */
export interface TokenBucket {
    /** Changes rate and capacity; the level is kept, up to the new capacity. */
    configure(rate: number, capacity: number, now: number): void;
    level(now: number): number;
    /** Takes units, or gives them back when `units` is negative. */
    take(units: number, now: number): void;
    /**
     * Milliseconds until the bucket holds `units` after `ahead` units were taken; `units` above its capacity count as
     * the capacity.
     */
    waitBehind(ahead: number, units: number, now: number): number;
    /** Whether the bucket holds so many units now; more than its capacity counts as the capacity. */
    holds(units: number, now: number): boolean;
}

/** Makes a full bucket. */
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
    const waitBehind = (ahead: number, units: number, at: number): number => {
        const missing = ahead + Math.min(units, limits.capacity) - level(at);
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
        waitBehind,
        // A wait below a microsecond is rounding of the refill, which must not postpone a request.
        holds: (units, at) => waitBehind(0, units, at) < 0.001,
    };
}
