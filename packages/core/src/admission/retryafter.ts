/** Time after which a refused caller should come back. */

/** Bounds of the time that a caller is told. */
export const MINIMUM_RETRY_AFTER_MILLISECONDS = 50;
export const MAXIMUM_RETRY_AFTER_MILLISECONDS = 60_000;

/** What `computeRetryAfter` depends on. */
export interface RetryAfterInput {
    /** Requests that must leave before this one could start. */
    readonly ahead: number;
    /** Requests a second that leave. */
    readonly drainPerSecond: number;
}

/** Computes the time after which to come back, in milliseconds, from the queue and its drain rate. */
export function computeRetryAfter({ ahead, drainPerSecond }: RetryAfterInput): number {
    return boundRetryAfter(drainPerSecond > 0 ? ahead * 1_000 / drainPerSecond : MAXIMUM_RETRY_AFTER_MILLISECONDS);
}

/** Bounds a time to come back. */
export function boundRetryAfter(milliseconds: number): number {
    return Math.ceil(
        Math.min(MAXIMUM_RETRY_AFTER_MILLISECONDS, Math.max(MINIMUM_RETRY_AFTER_MILLISECONDS, milliseconds)),
    );
}

/** Spaces the returns of refused callers, so that callers refused together do not come back together. */
export interface RetryAfterSchedule {
    /** Books a return at `earliest` at the soonest and at most `perSecond` a second; answers the time to wait. */
    reserve(earliestMilliseconds: number, perSecond: number, now: number): number;
}

/** Makes an empty schedule. */
export function createRetryAfterSchedule(): RetryAfterSchedule {
    let nextReturn = Number.NEGATIVE_INFINITY;
    return {
        reserve: (earliest, perSecond, now) => {
            const returnAt = Math.min(now + MAXIMUM_RETRY_AFTER_MILLISECONDS, Math.max(now + earliest, nextReturn));
            nextReturn = returnAt + (perSecond > 0 ? 1_000 / perSecond : MAXIMUM_RETRY_AFTER_MILLISECONDS);
            return boundRetryAfter(returnAt - now);
        },
    };
}
