/** Scores of the candidates of one choice. */
import { ejectionLimit, type TargetHealth } from "./ejection.js";
import type { LoadBook } from "./load.js";
import type { CompleteRouterOptions } from "./options.js";
import type { Candidate, RouteRequest, WeighedCandidate } from "./types.js";

/** Share of its weight with which a target starts. */
const SLOW_START_MINIMUM = 0.1;
/** Load added to a target that refused, until it has reported again or the pause is over. */
const REFUSAL_LOAD = 4;
const REFUSAL_PAUSE_MILLISECONDS = 1_000;
/** A first-token time of up to this many times the median is noise and does not raise a score. */
const SLOWNESS_TOLERANCE = 1.5;
/** Above this priority the engine lets a request pass queued work, which therefore counts less. */
const PLAIN_PRIORITY = 5;
const PRIORITIES = 10;

/** What the router knows of one target. */
export interface TargetKnowledge {
    readonly load: LoadBook;
    readonly health: TargetHealth;
}

/** What a choice depends on besides the candidate. */
export interface WeighContext {
    readonly request: RouteRequest;
    readonly now: number;
    readonly matched: ReadonlyMap<string, number>;
    readonly median: number | undefined;
    readonly meanWeight: number;
    readonly ejected: ReadonlySet<string>;
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
export function weigh(candidate: Candidate, known: TargetKnowledge, context: WeighContext): WeighedCandidate {
    const { request, now, options } = context;
    const estimate = known.load.estimate(candidate.load);
    const passed = Math.min(1, (PRIORITIES - request.priority) / (PRIORITIES - PLAIN_PRIORITY));
    const inProgress = estimate.own + estimate.others + estimate.othersQueued;
    const refusal = refusalLoad(candidate, known.health, now);
    const waiting = estimate.own + estimate.others + estimate.othersQueued * passed + refusal;
    const slowStart = slowStartOf(candidate, known.health, now, options.slowStartMilliseconds);
    const prefixBlocks = context.matched.get(candidate.target) ?? 0;
    const hit = request.prefixes.length === 0 ? 0 : prefixBlocks / request.prefixes.length;
    const slowness = slownessOf(known.health, context);
    const relativeWeight = candidate.weight / context.meanWeight * slowStart;
    const score = candidate.weight > 0
        ? ((waiting + 1) * slowness - 1) / relativeWeight - options.prefixBonus * hit
        : Number.MAX_VALUE;
    const excludedBecause = exclusionOf(candidate, inProgress, context);
    const weighed = { target: candidate.target, score, estimatedLoad: inProgress, prefixBlocks, slowStart };
    return excludedBecause === undefined ? weighed : { ...weighed, excludedBecause };
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
