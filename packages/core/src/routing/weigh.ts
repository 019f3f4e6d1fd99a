/** Scores the candidates of one choice. */
import { type Balance, excessLoad, requestsAhead } from "./balance.js";
import { ejectionLimit, type TargetHealth } from "./ejection.js";
import type { LoadEstimate, LoadHistory } from "./loadhistory.js";
import type { CompleteRouterOptions } from "./options.js";
import type { Candidate, RouteRequest, WeighedCandidate } from "./types.js";

/** Share of its weight that a target has at the beginning of its slow start. */
const MINIMUM_SLOW_START_SHARE = 0.1;
/** Load added to a target that refused a request, in requests, until it reports again or the backoff ends. */
const REFUSAL_LOAD = 4;
const REFUSAL_BACKOFF_MILLISECONDS = 1_000;
/** Multiple of the median up to which a first-token time is noise and does not raise the score. */
const LATENCY_TOLERANCE_FACTOR = 2;

/** State that the router keeps of one target. */
export interface TargetState {
    readonly load: LoadHistory;
    readonly health: TargetHealth;
    /** Whether the target had clearly more than the mean load at the last choice. */
    busy: boolean;
}

/** Input of the scores that is the same for all candidates of a choice. */
export interface WeighContext {
    readonly request: RouteRequest;
    readonly now: number;
    readonly matched: ReadonlyMap<string, number>;
    readonly median: number | undefined;
    readonly meanWeight: number;
    readonly balance: Balance;
    readonly ejected: ReadonlySet<string>;
    /** Candidates drawn at random for this choice. */
    readonly drawn: ReadonlySet<string>;
    /** Holders of the prompt's prefix that get the prefix bonus. */
    readonly holders: ReadonlySet<string>;
    readonly options: CompleteRouterOptions;
}

/** Returns the names of the candidates that are ejected now, up to the cap; the longest ejections take precedence. */
export function ejectedTargets(
    candidates: readonly Candidate[],
    healthOf: (target: string) => TargetHealth,
    now: number,
    share: number,
): ReadonlySet<string> {
    const usable = candidates.filter(({ weight }) => weight > 0);
    const ejected = usable
        .map(({ target }) => ({ target, until: healthOf(target).ejectedUntil }))
        .filter(({ until }) => until > now)
        .sort((left, right) => right.until - left.until);
    return new Set(ejected.slice(0, ejectionLimit(usable.length, share)).map(({ target }) => target));
}

/** Returns the share of its weight that a target has now. Slow start begins when it is ready or its ejection ends. */
export function slowStartOf(candidate: Candidate, health: TargetHealth, now: number, duration: number): number {
    const returnedAt = Math.max(candidate.readySince, Math.min(now, health.ejectedUntil));
    return Math.max(MINIMUM_SLOW_START_SHARE, Math.min(1, (now - returnedAt) / duration));
}

/** Scores one candidate: the expected wait in requests for each unit of relative weight, less the prefix bonus. */
export function weigh(
    candidate: Candidate,
    { health }: TargetState,
    estimate: LoadEstimate,
    context: WeighContext,
): WeighedCandidate {
    const { request, now, options } = context;
    const slowStart = slowStartOf(candidate, health, now, options.slowStartMilliseconds);
    const relativeWeight = candidate.weight / context.meanWeight * slowStart;
    const prefixBlocks = context.matched.get(candidate.target) ?? 0;
    const hitShare = request.prefixes.length === 0 ? 0 : prefixBlocks / request.prefixes.length;
    const waiting = requestsAhead(estimate, context.balance, relativeWeight, context.drawn.has(candidate.target))
        + refusalLoad(candidate, health, now);
    const bonus = prefixBonusOf(candidate.target, estimate, relativeWeight, context);
    const score = candidate.weight > 0
        ? ((waiting + 1) * latencyFactor(health, context) - 1) / relativeWeight - bonus * hitShare
        : Number.MAX_VALUE;
    const estimatedLoad = inProgressOf(estimate);
    const excludedBecause = exclusionOf(candidate, estimatedLoad, context);
    const weighed = { target: candidate.target, score, estimatedLoad, prefixBlocks, slowStart };
    return excludedBecause === undefined ? weighed : { ...weighed, excludedBecause };
}

/**
 * Returns the bonus of a complete prefix hit. Only a few holders, drawn at random, get it, because all daemons know the
 * same holders. At a daemon with little traffic, the scaled load of others would not outweigh the bonus, so the excess
 * load is subtracted from it.
 */
function prefixBonusOf(target: string, estimate: LoadEstimate, relativeWeight: number, context: WeighContext): number {
    const excess = Math.max(0, excessLoad(estimate, context.balance, relativeWeight));
    return context.holders.has(target) ? Math.max(0, context.options.prefixBonus - excess) : 0;
}

/** Returns the number of all requests in progress at a target. */
export function inProgressOf({ own, others, othersQueued }: LoadEstimate): number {
    return own + others + othersQueued;
}

function exclusionOf(
    { target, weight, concurrency }: Candidate,
    inProgress: number,
    { request, ejected }: WeighContext,
): WeighedCandidate["excludedBecause"] {
    const reasons = [
        [weight <= 0, "weight"],
        [request.excluded.includes(target), "tried"],
        [concurrency !== undefined && inProgress >= concurrency, "concurrency"],
        [ejected.has(target), "ejected"],
    ] as const;
    return reasons.find(([applies]) => applies)?.[1];
}

function refusalLoad(candidate: Candidate, { refusedAt }: TargetHealth, now: number): number {
    const reportedSince = candidate.load !== undefined && candidate.load.reportedAt > refusedAt;
    return now - refusedAt < REFUSAL_BACKOFF_MILLISECONDS && !reportedSince ? REFUSAL_LOAD : 0;
}

function latencyFactor(health: TargetHealth, { median, options }: WeighContext): number {
    if (median === undefined || median <= 0 || health.samples < options.stragglerSamples) {
        return 1;
    }
    return Math.min(
        options.stragglerFactor,
        Math.max(1, health.meanFirstTokenMilliseconds / median / LATENCY_TOLERANCE_FACTOR),
    );
}
