/** Limits of one team on one daemon: token buckets for requests and for tokens, and a concurrency limit. */
import { createTokenBucket, type TokenBucket } from "./bucket.js";
import type { TeamShare } from "./types.js";

/** Burst of a bucket, as seconds of its rate. A team may exceed its rate once by that amount. */
export const BURST_SECONDS = 1;

/** Limits of one team and their current usage. */
export interface TeamLimits {
    configure(share: TeamShare, now: number): void;
    /** Whether a request that costs `tokens` may start now. */
    allows(tokens: number, now: number): boolean;
    /** Returns the milliseconds until the rates allow a request after `ahead` others with a total of `aheadTokens`. */
    waitMilliseconds(ahead: number, aheadTokens: number, tokens: number, now: number): number;
    start(tokens: number, now: number): void;
    /** Finishes a request. `difference` is its actual minus its estimated tokens. */
    finish(difference: number, now: number): void;
}

/** Returns the capacity of a bucket, at least `minimum`, so that a low rate still admits whole requests. */
export function burstCapacity(rate: number, minimum: number): number {
    return Math.max(minimum, rate * BURST_SECONDS);
}

/** Creates the limits of a team. */
export function createTeamLimits(initial: TeamShare, startedAt: number): TeamLimits {
    let share = initial;
    let running = 0;
    let requests: TokenBucket | undefined;
    let tokens: TokenBucket | undefined;

    const configure = (next: TeamShare, now: number): void => {
        share = next;
        requests = configureBucket(requests, next.requestsPerSecond, 1, now);
        tokens = configureBucket(tokens, next.tokensPerSecond, 0, now);
    };
    configure(initial, startedAt);

    return {
        configure,
        allows: (cost, now) =>
            running < (share.concurrency ?? Number.POSITIVE_INFINITY)
            && (requests?.canTake(1, now) ?? true)
            && (tokens?.canTake(cost, now) ?? true),
        waitMilliseconds: (ahead, aheadTokens, cost, now) =>
            Math.max(
                requests?.waitMilliseconds(ahead, 1, now) ?? 0,
                tokens?.waitMilliseconds(aheadTokens, cost, now) ?? 0,
            ),
        start: (cost, now) => {
            running += 1;
            requests?.take(1, now);
            tokens?.take(cost, now);
        },
        finish: (difference, now) => {
            running -= 1;
            tokens?.take(difference, now);
        },
    };
}

function configureBucket(
    bucket: TokenBucket | undefined,
    rate: number | undefined,
    minimum: number,
    now: number,
): TokenBucket | undefined {
    if (rate === undefined) {
        return undefined;
    }
    bucket?.configure(rate, burstCapacity(rate, minimum), now);
    return bucket ?? createTokenBucket(rate, burstCapacity(rate, minimum), now);
}
