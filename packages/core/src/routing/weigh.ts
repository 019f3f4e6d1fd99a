/** Scores of the candidates of one choice. */
import { type Balance, excessAt, waitingAt } from "./balance.js";
import { ejectionLimit, type TargetHealth } from "./ejection.js";
import type { LoadBook, LoadEstimate } from "./load.js";
import type { CompleteRouterOptions } from "./options.js";
import type { Candidate, RouteRequest, WeighedCandidate } from "./types.js";

/** Share of its weight with which a target starts. */
const SLOW_START_MINIMUM = 0.1;
/** Load added to a target that refused, until it has reported again or the pause is over. */
const REFUSAL_LOAD = 4;
const REFUSAL_PAUSE_MILLISECONDS = 1_000;
/** A first-token time of up to this many times the median is noise and does not raise a score. */
const SLOWNESS_TOLERANCE = 2;

/** What the router knows of one target. */
export interface TargetKnowledge {
    readonly load: LoadBook;
    readonly health: TargetHealth;
    /** Requests in progress at the last choice, and whether these were more than at most targets. */
    busy: boolean;
}

/** What a choice depends on besides the candidate. */
export interface WeighContext {
    readonly request: RouteRequest;
    readonly now: number;
    readonly matched: ReadonlyMap<string, number>;
    readonly median: number | undefined;
    readonly meanWeight: number;
    readonly balance: Balance;
    readonly ejected: ReadonlySet<string>;
    /** Candidates that were drawn for this choice. */
    readonly drawn: ReadonlySet<string>;
    /** Holders of the prompt's prefix that were drawn for this choice. */
    readonly holders: ReadonlySet<string>;
    readonly options: CompleteRouterOptions;
}

/** Names of the candidates that are ejected now; the longest ejections take precedence up to the cap. */
export function ejectedNow(
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

/** Share of its weight that a target may use now; it returned when it became ready or its ejection ended. */
export function slowStartOf(candidate: Candidate, health: TargetHealth, now: number, duration: number): number {
    const returned = Math.max(candidate.readySince, Math.min(now, health.ejectedUntil));
    return Math.max(SLOW_START_MINIMUM, Math.min(1, (now - returned) / duration));
}

/** Weighs one candidate. The score is the expected wait in requests, per unit of weight, less the prefix bonus. */
export function weigh(
    candidate: Candidate,
    { health }: TargetKnowledge,
    estimate: LoadEstimate,
    context: WeighContext,
): WeighedCandidate {
    const { request, now, options } = context;
    const slowStart = slowStartOf(candidate, health, now, options.slowStartMilliseconds);
    const relativeWeight = candidate.weight / context.meanWeight * slowStart;
    const prefixBlocks = context.matched.get(candidate.target) ?? 0;
    const hit = request.prefixes.length === 0 ? 0 : prefixBlocks / request.prefixes.length;
    const waiting = waitingAt(estimate, context.balance, relativeWeight, context.drawn.has(candidate.target))
        + refusalLoad(candidate, health, now);
    const bonus = bonusAt(candidate.target, estimate, relativeWeight, context);
    const score = candidate.weight > 0
        ? ((waiting + 1) * slownessOf(health, context) - 1) / relativeWeight - bonus * hit
        : Number.MAX_VALUE;
    const estimatedLoad = inProgressOf(estimate);
    const excludedBecause = exclusionOf(candidate, estimatedLoad, context);
    const weighed = { target: candidate.target, score, estimatedLoad, prefixBlocks, slowStart };
    return excludedBecause === undefined ? weighed : { ...weighed, excludedBecause };
}

/**
 * Bonus of a complete prefix hit. Only a few holders, drawn at random, have it: all daemons learn of the same holders.
 * The scaled load of others would not outweigh it at a daemon that sends little, so an excess takes it away.
 */
function bonusAt(target: string, estimate: LoadEstimate, relativeWeight: number, context: WeighContext): number {
    const excess = Math.max(0, excessAt(estimate, context.balance, relativeWeight));
    return context.holders.has(target) ? Math.max(0, context.options.prefixBonus - excess) : 0;
}

/** All requests in progress at a target. */
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
    return now - refusedAt < REFUSAL_PAUSE_MILLISECONDS && !reportedSince ? REFUSAL_LOAD : 0;
}

function slownessOf(health: TargetHealth, { median, options }: WeighContext): number {
    if (median === undefined || median <= 0 || health.samples < options.stragglerSamples) {
        return 1;
    }
    return Math.min(options.stragglerFactor, Math.max(1, health.firstToken / median / SLOWNESS_TOLERANCE));
}
