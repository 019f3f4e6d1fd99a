/** Limits of one team at one daemon: buckets for requests and tokens, and concurrency. */
import { createTokenBucket, type TokenBucket } from "./bucket.js";
import type { TeamShare } from "./types.js";

/** A bucket holds the amount of this time, so a team may exceed its rate by that amount once. */
export const BURST_SECONDS = 1;

/** Limits of one team, and what it uses of them. */
export interface TeamLimits {
    configure(share: TeamShare, now: number): void;
    /** Whether a request that costs so many tokens may start now. */
    allows(tokens: number, now: number): boolean;
    /** Milliseconds until the rates allow a request behind `ahead` others that cost `aheadTokens` together. */
    waitBehind(ahead: number, aheadTokens: number, tokens: number, now: number): number;
    start(tokens: number, now: number): void;
    /** Ends a request: `difference` is what it used beyond its estimate. */
    finish(difference: number, now: number): void;
}

/** Units that a bucket of this rate holds; at least `minimum`, so that a small rate still passes whole requests. */
export function burstOf(rate: number, minimum: number): number {
    return Math.max(minimum, rate * BURST_SECONDS);
}

/** Makes the limits of a team. */
export function createTeamLimits(initial: TeamShare, startedAt: number): TeamLimits {
    let share = initial;
    let running = 0;
    let requests: TokenBucket | undefined;
    let tokens: TokenBucket | undefined;

    const configure = (next: TeamShare, now: number): void => {
        share = next;
        requests = adjust(requests, next.requestsPerSecond, 1, now);
        tokens = adjust(tokens, next.tokensPerSecond, 0, now);
    };
    configure(initial, startedAt);

    return {
        configure,
        allows: (cost, now) =>
            running < (share.concurrency ?? Number.POSITIVE_INFINITY)
            && (requests?.holds(1, now) ?? true)
            && (tokens?.holds(cost, now) ?? true),
        waitBehind: (ahead, aheadTokens, cost, now) =>
            Math.max(requests?.waitBehind(ahead, 1, now) ?? 0, tokens?.waitBehind(aheadTokens, cost, now) ?? 0),
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

function adjust(
    bucket: TokenBucket | undefined,
    rate: number | undefined,
    minimum: number,
    now: number,
): TokenBucket | undefined {
    if (rate === undefined) {
        return undefined;
    }
    bucket?.configure(rate, burstOf(rate, minimum), now);
    return bucket ?? createTokenBucket(rate, burstOf(rate, minimum), now);
}
