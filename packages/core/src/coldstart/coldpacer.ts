/** Paces the requests of one daemon to one cold target, and lets them rise after it turned warm (slow start). */
import { createTokenBucket } from "../admission/bucket.js";
import type { ColdShare } from "./coldshare.js";

/** Pacer of one target. Times are monotonic milliseconds. */
export interface ColdPacer {
    /** Changes the share. What was saved up is kept, so that changes of the share give no additional requests. */
    configure(share: ColdShare): void;
    /** Changes when the target turns warm. */
    setColdUntil(coldUntil: number): void;
    /** Returns the milliseconds until a request may be sent; infinite while others send to the cold target. */
    waitMilliseconds(now: number): number;
    recordSent(now: number): void;
    /** When this daemon may send without a limit. */
    endsAt(): number;
}

/** Time over which the load of a target rises after it turned warm. */
export const SLOW_START_MILLISECONDS = 1_000;

/** A daemon saves up one request at most, however long it has been idle or paused. */
const CAPACITY = 1;
/** The rate of a holder rises up to this multiple, shortly before the slow start ends. */
const MAXIMUM_GROWTH = 20;

/** Creates a pacer that has saved up the initial level of the share. */
export function createColdPacer(initial: ColdShare, coldUntil: number, startedAt: number): ColdPacer {
    let share = initial;
    let warmAt = coldUntil;
    const bucket = createTokenBucket(initial.requestsPerSecond, CAPACITY, startedAt);
    bucket.take(CAPACITY - initial.initialLevel, startedAt);

    const endsAt = (): number => warmAt + share.joinsAt * SLOW_START_MILLISECONDS;
    /** Refills the bucket at the rate that holds now: that of the share, and more and more of it in the slow start. */
    const refill = (now: number): void => {
        const remaining = Math.max(1 / MAXIMUM_GROWTH, 1 - Math.max(0, now - warmAt) / SLOW_START_MILLISECONDS);
        bucket.configure(share.requestsPerSecond / remaining, CAPACITY, now);
    };
    return {
        configure: next => {
            share = next;
        },
        setColdUntil: next => {
            warmAt = next;
        },
        waitMilliseconds: now => {
            if (now >= endsAt()) {
                return 0;
            }
            if (share.requestsPerSecond === 0) {
                return now >= warmAt ? endsAt() - now : Number.POSITIVE_INFINITY;
            }
            refill(now);
            return bucket.waitMilliseconds(0, CAPACITY, now);
        },
        recordSent: now => {
            refill(now);
            bucket.take(CAPACITY, now);
        },
        endsAt,
    };
}
