/** Time after which a refused caller should retry. */

/** Bounds of the retry-after time. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 50;
export const MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;

/** Input of `computeRetryAfter`. */
export interface RetryAfterInput {
    /** Number of requests that must leave the queue before this one can start. */
    readonly ahead: number;
    /** Requests per second that leave the queue. */
    readonly drainPerSecond: number;
}

/** Computes the retry-after time in milliseconds from the queue and its drain rate. */
export function computeRetryAfter({ ahead, drainPerSecond }: RetryAfterInput): number {
    return clampRetryAfter(drainPerSecond > 0 ? ahead * 1_000 / drainPerSecond : MAXIMUM_RETRY_AFTER_MILLISECONDS);
}

/** Clamps a retry-after time to its bounds and rounds it up to whole milliseconds. */
export function clampRetryAfter(milliseconds: number): number {
    return Math.ceil(
        Math.min(MAXIMUM_RETRY_AFTER_MILLISECONDS, Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds)),
    );
}

/** Spaces the retries of refused callers, so that callers refused together do not retry together. */
export interface RetryAfterSchedule {
    /** Reserves a retry after at least `earliestMilliseconds`, `perSecond` retries at most. Returns the time to wait. */
    reserve(earliestMilliseconds: number, perSecond: number, now: number): number;
}

/** Creates an empty schedule. */
export function createRetryAfterSchedule(): RetryAfterSchedule {
    let nextRetryAt = Number.NEGATIVE_INFINITY;
    return {
        reserve: (earliest, perSecond, now) => {
            const retryAt = Math.min(now + MAXIMUM_RETRY_AFTER_MILLISECONDS, Math.max(now + earliest, nextRetryAt));
            nextRetryAt = retryAt + (perSecond > 0 ? 1_000 / perSecond : MAXIMUM_RETRY_AFTER_MILLISECONDS);
            return clampRetryAfter(retryAt - now);
        },
    };
}
