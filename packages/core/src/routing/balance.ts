/** How the exact load of this daemon and the lagging load of the others are put together in a score. */
import type { LoadEstimate } from "./load.js";

/**
 * Deviations of the others' load from the mean within this many standard deviations of a Poisson count are noise.
 * Following them makes daemons with the same report move together.
 */
const NOISE_DEVIATIONS = 1.5;
/** Part of an imbalance of the others that is made up for; the rest passes by itself before requests arrive. */
const CORRECTED_PART = 0.5;
/** Candidates drawn for each own request in progress: a daemon that sends little knows little that is not stale. */
const CHOICES_PER_OWN_REQUEST = 0.5;
/** Above this priority the engine lets a request pass queued work, which therefore counts less. */
const PLAIN_PRIORITY = 5;
const PRIORITIES = 10;

/** Load of all candidates together, as one choice sees it. */
export interface Balance {
    /** Own requests in progress at the candidates. */
    readonly own: number;
    /** Mean of the others' requests for each candidate. */
    readonly meanOthers: number;
    /**
     * Factor on the others' requests, at most the own requests for each of theirs. All daemons react to the same
     * report, so each may make up only for its own part of an imbalance.
     */
    readonly scale: number;
    /** Share of the others' queued requests that count at the priority of the request. */
    readonly queuedShare: number;
}

/** Sums up the load of all candidates for a request of some priority. */
export function balanceOf(estimates: readonly LoadEstimate[], priority: number): Balance {
    const queuedShare = Math.min(1, (PRIORITIES - priority) / (PRIORITIES - PLAIN_PRIORITY));
    const own = estimates.reduce((sum, estimate) => sum + estimate.own, 0);
    const others = estimates.reduce((sum, estimate) => sum + othersOf(estimate, queuedShare), 0);
    return {
        own,
        meanOthers: others / Math.max(1, estimates.length),
        scale: others === 0 ? 0 : CORRECTED_PART * Math.min(1, Math.max(1, own) / others),
        queuedShare,
    };
}

/**
 * Requests of others beyond what a target with this weight relative to the mean is expected to have; negative below.
 * Noise counts as nothing.
 */
export function excessAt(estimate: LoadEstimate, balance: Balance, relativeWeight: number): number {
    const expected = balance.meanOthers * relativeWeight;
    const deviation = othersOf(estimate, balance.queuedShare) - expected;
    return Math.sign(deviation) * Math.max(0, Math.abs(deviation) - NOISE_DEVIATIONS * Math.sqrt(expected));
}

/**
 * Requests that count as ahead of a new one. A target counts as less loaded by others than the mean only if it was
 * drawn; otherwise all daemons would move to it on the same report.
 */
export function waitingAt(estimate: LoadEstimate, balance: Balance, relativeWeight: number, drawn: boolean): number {
    const excess = excessAt(estimate, balance, relativeWeight);
    const counted = excess > 0 || drawn ? excess : 0;
    return Math.max(0, estimate.own + balance.scale * (balance.meanOthers * relativeWeight + counted));
}

/** How many candidates are drawn for a choice. */
export function choicesFor({ own }: Balance, minimum: number): number {
    return Math.max(minimum, Math.floor(own * CHOICES_PER_OWN_REQUEST));
}

function othersOf({ others, othersQueued }: LoadEstimate, queuedShare: number): number {
    return others + othersQueued * queuedShare;
}
