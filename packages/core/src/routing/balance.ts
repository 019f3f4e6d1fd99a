/** Combines the exact load of this daemon with the lagging reports of the load from other daemons. */
import type { LoadEstimate } from "./loadhistory.js";

/**
 * Number of standard deviations of a Poisson count within which a deviation of the others' load from the mean is noise.
 * Reacting to noise would make all daemons with the same report choose the same targets.
 */
const NOISE_DEVIATIONS = 1.5;
/** Share of an imbalance of the others' load that is corrected; the rest passes by itself before requests arrive. */
const CORRECTION_FACTOR = 0.5;
/** Candidates drawn for each own request in progress: most of what a daemon with little traffic knows is stale. */
const DRAWS_PER_OWN_REQUEST = 0.5;
/** Requests above this priority overtake queued requests in the engine, so that queued requests count less for them. */
const NORMAL_PRIORITY = 5;
const PRIORITY_LEVELS = 10;

/** Load of all candidates together, for one choice. */
export interface Balance {
    /** Requests of this daemon in progress at the candidates. */
    readonly own: number;
    /** Mean number of the others' requests for each candidate. */
    readonly meanOthers: number;
    /**
     * Factor on the others' requests, at most the ratio of own requests to theirs. All daemons react to the same
     * reports, so that each may correct only its own share of an imbalance.
     */
    readonly scale: number;
    /** Share of the others' queued requests that count at the priority of the request. */
    readonly queuedShare: number;
}

/** Computes the balance of all candidates for a request with this priority. */
export function balanceOf(estimates: readonly LoadEstimate[], priority: number): Balance {
    const queuedShare = Math.min(1, (PRIORITY_LEVELS - priority) / (PRIORITY_LEVELS - NORMAL_PRIORITY));
    const own = estimates.reduce((sum, estimate) => sum + estimate.own, 0);
    const others = estimates.reduce((sum, estimate) => sum + othersOf(estimate, queuedShare), 0);
    return {
        own,
        meanOthers: others / Math.max(1, estimates.length),
        scale: others === 0 ? 0 : CORRECTION_FACTOR * Math.min(1, Math.max(1, own) / others),
        queuedShare,
    };
}

/**
 * Returns by how many requests the others' load exceeds the load expected of a target with this weight relative to the
 * mean; negative if it is below. Deviations within the noise return 0.
 */
export function excessLoad(estimate: LoadEstimate, balance: Balance, relativeWeight: number): number {
    const expected = balance.meanOthers * relativeWeight;
    const deviation = othersOf(estimate, balance.queuedShare) - expected;
    return Math.sign(deviation) * Math.max(0, Math.abs(deviation) - NOISE_DEVIATIONS * Math.sqrt(expected));
}

/**
 * Returns the number of requests that count as ahead of a new one. A target counts as less loaded by others than the
 * mean only if it was drawn; otherwise all daemons would choose it after the same report.
 */
export function requestsAhead(
    estimate: LoadEstimate,
    balance: Balance,
    relativeWeight: number,
    drawn: boolean,
): number {
    const excess = excessLoad(estimate, balance, relativeWeight);
    const counted = excess > 0 || drawn ? excess : 0;
    return Math.max(0, estimate.own + balance.scale * (balance.meanOthers * relativeWeight + counted));
}

/** Returns how many candidates are drawn for a choice. */
export function drawCount({ own }: Balance, minimum: number): number {
    return Math.max(minimum, Math.floor(own * DRAWS_PER_OWN_REQUEST));
}

function othersOf({ others, othersQueued }: LoadEstimate, queuedShare: number): number {
    return others + othersQueued * queuedShare;
}
