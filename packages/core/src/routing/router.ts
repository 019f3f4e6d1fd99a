/**
 * Router of one model or service. A choice compares all candidates by the requests of this daemon. That a target is
 * less loaded by other daemons counts only for a few candidates, drawn at random by weight: otherwise all daemons with
 * the same lagging report would choose the same target.
 */
import { balanceOf, drawCount } from "./balance.js";
import { eject, initialHealth, isStraggler, medianFirstToken, recordResult } from "./ejection.js";
import { createLoadHistory, type LoadEstimate } from "./loadhistory.js";
import { completeRouterOptions, type RouterOptions } from "./options.js";
import { createPrefixMap } from "./prefixes.js";
import type { Candidate, RouteChoice, Router, RouteRequest, WeighedCandidate } from "./types.js";
import { ejectedTargets, inProgressOf, slowStartOf, type TargetState, weigh } from "./weigh.js";
import { weightedShuffle } from "./weightedshuffle.js";

/** Number of targets kept in addition to the current candidates before absent targets without requests are removed. */
const RETAINED_TARGETS = 256;
/** Maximum number of prefix holders that get the prefix bonus in one choice. */
const MAXIMUM_PREFIX_HOLDERS = 3;
/** A prefix that more than this share of the candidates are known to hold is held nearly everywhere, or soon will be. */
const WIDELY_HELD_SHARE = 0.34;
/** Multiple of the mean load above which a target counts as busy. */
const BUSY_FACTOR = 1.25;

/** Creates a router. */
export function createRouter(routerOptions: RouterOptions): Router {
    const options = completeRouterOptions(routerOptions);
    const prefixes = createPrefixMap(options.prefixBlocks);
    const targets = new Map<string, TargetState>();

    const stateOf = (target: string): TargetState => {
        const state = targets.get(target) ?? { load: createLoadHistory(), health: initialHealth(), busy: false };
        targets.set(target, state);
        return state;
    };
    const weightNow = (candidate: Candidate, now: number): number =>
        candidate.weight
        * slowStartOf(candidate, stateOf(candidate.target).health, now, options.slowStartMilliseconds);
    const median = (): number | undefined =>
        medianFirstToken([...targets.values()].map(({ health }) => health), options.stragglerSamples);

    const choose = (candidates: readonly Candidate[], request: RouteRequest, now: number): RouteChoice => {
        removeAbsentTargets(targets, candidates);
        const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
        const estimates = candidates.map(({ target, load }) => stateOf(target).load.estimate(load));
        markBusyTargets(candidates.map(({ target }) => stateOf(target)), estimates);
        const balance = balanceOf(estimates, request.priority);
        const order = weightedShuffle(candidates, candidate => weightNow(candidate, now), options.random);
        const matched = prefixes.match(request.prefixes);
        const holders = prefixHolders(order, matched);
        const context = {
            request,
            now,
            options,
            balance,
            matched,
            holders: new Set(holders.map(({ target }) => target)),
            median: median(),
            meanWeight: total / Math.max(1, candidates.filter(({ weight }) => weight > 0).length),
            ejected: ejectedTargets(candidates, target => stateOf(target).health, now, options.maximumEjectedShare),
            drawn: new Set(order.slice(0, drawCount(balance, options.choices)).map(({ target }) => target)),
        };
        const weighed = candidates.map((candidate, index) =>
            weigh(candidate, stateOf(candidate.target), estimates[index] as LoadEstimate, context)
        );
        const target = selectBest(weighed, order.map(candidate => candidate.target));
        return target === undefined ? { weighed } : { target, weighed };
    };

    return {
        choose,
        sent: (target, request, now) => {
            stateOf(target).load.sent(now);
            prefixes.stored(target, request.prefixes);
        },
        finished: observation => {
            const state = stateOf(observation.target);
            state.load.finished(observation.finishedAt);
            const failing = recordResult(state.health, observation, options);
            if (failing || !state.busy && isStraggler(state.health, median(), options)) {
                eject(state.health, observation.finishedAt, options);
            }
        },
        cacheEvent: (target, { stored, evicted }) => {
            prefixes.stored(target, stored);
            prefixes.evicted(target, evicted);
        },
        cacheGap: target => prefixes.removeTarget(target),
    };
}

/** Returns the holders that get the prefix bonus; none if so many hold the prefix that it would only cause hot spots. */
function prefixHolders(order: readonly Candidate[], matched: ReadonlyMap<string, number>): readonly Candidate[] {
    const usable = order.filter(({ weight }) => weight > 0);
    const holders = usable.filter(({ target }) => matched.has(target));
    return holders.length > Math.max(1, usable.length * WIDELY_HELD_SHARE)
        ? []
        : holders.slice(0, MAXIMUM_PREFIX_HOLDERS);
}

/** Selects the candidate with the lowest score. Ties go to the one drawn first, so that weights hold for idle targets. */
function selectBest(weighed: readonly WeighedCandidate[], order: readonly string[]): string | undefined {
    const eligible = new Map(eligibleOf(weighed).map(candidate => [candidate.target, candidate]));
    return order.map(target => eligible.get(target)).reduce(
        (best, candidate) =>
            candidate !== undefined && (best === undefined || candidate.score < best.score) ? candidate : best,
        undefined,
    )?.target;
}

/** Returns the candidates that may be chosen: ejected ones only if no others are left and none is full. */
function eligibleOf(weighed: readonly WeighedCandidate[]): readonly WeighedCandidate[] {
    const free = weighed.filter(({ excludedBecause }) => excludedBecause === undefined);
    const full = weighed.some(({ excludedBecause }) => excludedBecause === "concurrency");
    return free.length > 0 || full ? free : weighed.filter(({ excludedBecause }) => excludedBecause === "ejected");
}

/** Marks targets with clearly more than the mean load, which are slow because of it and therefore no stragglers. */
function markBusyTargets(states: readonly TargetState[], estimates: readonly LoadEstimate[]): void {
    const loads = estimates.map(inProgressOf);
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    states.forEach((target, index) => {
        target.busy = (loads[index] ?? 0) > mean * BUSY_FACTOR;
    });
}

function removeAbsentTargets(targets: Map<string, TargetState>, candidates: readonly Candidate[]): void {
    if (targets.size <= candidates.length + RETAINED_TARGETS) {
        return;
    }
    const present = new Set(candidates.map(({ target }) => target));
    [...targets]
        .filter(([target, { load }]) => !present.has(target) && load.inProgress() === 0)
        .forEach(([target]) => targets.delete(target));
}
