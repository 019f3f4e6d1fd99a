/**
 * Which share of its requests a process of a target fails, as the daemons of a fleet observe it together: one daemon of a large
 * fleet sends a target a request every few seconds, which says little about the share.
 */
import type { StatedProcess } from "../placement/targetprocess.js";

/** Faded numbers of requests and failures of one process of a target. */
export interface FailureSum extends StatedProcess {
    readonly requests: number;
    readonly failures: number;
}

/** Observations of one daemon. Times are monotonic milliseconds. */
export interface FailureObservations {
    /** Records the outcome of a request at a process. */
    record(process: StatedProcess, failed: boolean, now: number): void;
    /** Returns the recent observations. */
    sums(now: number): readonly FailureSum[];
}

interface TimedSum extends FailureSum {
    readonly at: number;
}

/** Time after which an observation counts half: long enough to keep the few requests that a failing target gets. */
const HALF_LIFE_MILLISECONDS = 1_500;
/** Sums with fewer requests are dropped. */
const LEAST_REQUESTS = 0.1;
/** Successful requests that are assumed of each process, so that one failure among few requests weighs little. */
const ASSUMED_SUCCESSES = 2;

/** Creates a daemon's observations, without any. */
export function createFailureObservations(): FailureObservations {
    const sums = new Map<string, TimedSum>();
    return {
        record: ({ target, startedAt }, failed, now) => {
            const key = processKey({ target, startedAt });
            const known = sums.get(key);
            const faded = known === undefined ? undefined : fadeFailureSum(known, now - known.at);
            sums.set(key, {
                target,
                startedAt,
                requests: (faded?.requests ?? 0) + 1,
                failures: (faded?.failures ?? 0) + (failed ? 1 : 0),
                at: now,
            });
        },
        sums: now => {
            const faded = [...sums].map(([key, sum]) => [key, fadeFailureSum(sum, now - sum.at)] as const);
            faded.filter(([, { requests }]) => requests < LEAST_REQUESTS).forEach(([key]) => sums.delete(key));
            return faded.filter(([, { requests }]) => requests >= LEAST_REQUESTS).map(([, sum]) => sum);
        },
    };
}

/** Returns a sum as it has faded over a time. */
export function fadeFailureSum(
    { target, startedAt, requests, failures }: FailureSum,
    ageMilliseconds: number,
): FailureSum {
    const factor = 0.5 ** (Math.max(0, ageMilliseconds) / HALF_LIFE_MILLISECONDS);
    return { target, startedAt, requests: requests * factor, failures: failures * factor };
}

/** Adds up observations of several daemons by process. */
export function mergeFailureSums(sources: readonly (readonly FailureSum[])[]): FailureSum[] {
    const merged = new Map<string, FailureSum>();
    sources.flat().forEach(sum => {
        const key = processKey(sum);
        const known = merged.get(key);
        merged.set(key, {
            ...sum,
            requests: sum.requests + (known?.requests ?? 0),
            failures: sum.failures + (known?.failures ?? 0),
        });
    });
    return [...merged.values()];
}

/** Returns the estimated share of requests that a process fails, from 0 to below 1. */
export function failureShareOf({ requests, failures }: Pick<FailureSum, "requests" | "failures">): number {
    return failures / (requests + ASSUMED_SUCCESSES);
}

/** Returns a text that identifies a process of a target. */
export function processKey({ target, startedAt }: StatedProcess): string {
    return `${target} ${startedAt ?? ""}`;
}
