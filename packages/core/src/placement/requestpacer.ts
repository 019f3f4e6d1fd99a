/** Paces the requests of one daemon to one target by its share of the target's rate. */
import { createTokenBucket, type TokenBucket } from "../admission/bucket.js";
import type { LimitShare } from "./limitshare.js";

/** Pacer of one target. Times are monotonic milliseconds. */
export interface RequestPacer {
    /** Changes the share. What was saved up is kept, so that changes of the share give no additional requests. */
    configure(share: LimitShare, now: number): void;
    /** Returns the milliseconds until a request may be sent; infinite while the share is 0. */
    waitMilliseconds(now: number): number;
    recordSent(now: number): void;
}

/** A daemon saves up one request at most, however long it has been idle or paused. */
const CAPACITY = 1;

/** Creates a pacer that has saved up the initial level of the share. */
export function createRequestPacer(initial: LimitShare, startedAt: number): RequestPacer {
    const bucket: TokenBucket = createTokenBucket(initial.requestsPerSecond, CAPACITY, startedAt);
    bucket.take(CAPACITY - initial.initialLevel, startedAt);
    let isHolder = initial.requestsPerSecond > 0;
    return {
        configure: ({ requestsPerSecond }, now) => {
            isHolder = requestsPerSecond > 0;
            bucket.configure(requestsPerSecond, CAPACITY, now);
        },
        waitMilliseconds: now => isHolder ? bucket.waitMilliseconds(0, CAPACITY, now) : Number.POSITIVE_INFINITY,
        recordSent: now => bucket.take(CAPACITY, now),
    };
}
