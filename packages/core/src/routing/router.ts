/**
 * Router of one model or service. A choice compares all candidates by what this daemon knows itself. That a target is
 * less loaded by others counts only for a few candidates, drawn at random by weight: daemons with the same lagging
 * report would otherwise all move to the same target.
 */
import { balanceOf, choicesFor } from "./balance.js";
import { eject, isStraggler, medianFirstToken, noteResult, unknownHealth } from "./ejection.js";
import { createLoadBook, type LoadEstimate } from "./load.js";
import { completeRouterOptions, type RouterOptions } from "./options.js";
import { drawByWeight } from "./pick.js";
import { createPrefixMap } from "./prefixes.js";
import type { Candidate, RouteChoice, Router, RouteRequest, WeighedCandidate } from "./types.js";
import { ejectedNow, inProgressOf, slowStartOf, type TargetKnowledge, weigh } from "./weigh.js";

/** Targets known beyond the current candidates before those without work are forgotten. */
const FORGOTTEN_ABOVE = 256;
/** Holders of the prompt's prefix whose prefix counts in a choice. */
const HOLDERS_DRAWN = 3;
/** A prefix that more than this part of the candidates are known to hold is held nearly everywhere, or soon will be. */
const SPREAD_PART = 0.34;
/** Load relative to the mean above which a target counts as busy. */
const BUSY_FACTOR = 1.25;

/** Makes a router. */
export function createRouter(given: RouterOptions): Router {
    const options = completeRouterOptions(given);
    const prefixes = createPrefixMap(options.prefixBlocks);
    const targets = new Map<string, TargetKnowledge>();

    const knowledge = (target: string): TargetKnowledge => {
        const known = targets.get(target) ?? { load: createLoadBook(), health: unknownHealth(), busy: false };
        targets.set(target, known);
        return known;
    };
    const weightNow = (candidate: Candidate, now: number): number =>
        candidate.weight
        * slowStartOf(candidate, knowledge(candidate.target).health, now, options.slowStartMilliseconds);
    const median = (): number | undefined =>
        medianFirstToken([...targets.values()].map(({ health }) => health), options.stragglerSamples);

    const choose = (candidates: readonly Candidate[], request: RouteRequest, now: number): RouteChoice => {
        forgetAbsent(targets, candidates);
        const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
        const estimates = candidates.map(({ target, load }) => knowledge(target).load.estimate(load));
        noteBusy(candidates.map(({ target }) => knowledge(target)), estimates);
        const balance = balanceOf(estimates, request.priority);
        const order = drawByWeight(candidates, candidate => weightNow(candidate, now), options.random);
        const matched = prefixes.match(request.prefixes);
        const holders = holdersOf(order, matched);
        const context = {
            request,
            now,
            options,
            balance,
            matched,
            holders: new Set(holders.map(({ target }) => target)),
            median: median(),
            meanWeight: total / Math.max(1, candidates.filter(({ weight }) => weight > 0).length),
            ejected: ejectedNow(candidates, target => knowledge(target).health, now, options.maximumEjectedShare),
            drawn: new Set(order.slice(0, choicesFor(balance, options.choices)).map(({ target }) => target)),
        };
        const weighed = candidates.map((candidate, index) =>
            weigh(candidate, knowledge(candidate.target), estimates[index] as LoadEstimate, context)
        );
        const target = pick(weighed, order.map(candidate => candidate.target));
        return target === undefined ? { weighed } : { target, weighed };
    };

    return {
        choose,
        sent: (target, request, now) => {
            knowledge(target).load.sent(now);
            prefixes.stored(target, request.prefixes);
        },
        finished: seen => {
            const known = knowledge(seen.target);
            known.load.finished(seen.finishedAt);
            const failing = noteResult(known.health, seen, options);
            if (failing || !known.busy && isStraggler(known.health, median(), options)) {
                eject(known.health, seen.finishedAt, options);
            }
        },
        cacheEvent: (target, { stored, evicted }) => {
            prefixes.stored(target, stored);
            prefixes.evicted(target, evicted);
        },
        cacheGap: target => prefixes.forget(target),
    };
}

/** Holders whose prefix counts; none if the prefix is so widely held that following it would only bunch requests. */
function holdersOf(order: readonly Candidate[], matched: ReadonlyMap<string, number>): readonly Candidate[] {
    const usable = order.filter(({ weight }) => weight > 0);
    const holders = usable.filter(({ target }) => matched.has(target));
    return holders.length > Math.max(1, usable.length * SPREAD_PART) ? [] : holders.slice(0, HOLDERS_DRAWN);
}

/** Picks the best candidate; equal scores go to the one drawn first, so that weights hold when idle. */
function pick(weighed: readonly WeighedCandidate[], order: readonly string[]): string | undefined {
    const eligible = new Map(eligibleOf(weighed).map(candidate => [candidate.target, candidate]));
    return order.map(target => eligible.get(target)).reduce(
        (best, candidate) =>
            candidate !== undefined && (best === undefined || candidate.score < best.score) ? candidate : best,
        undefined,
    )?.target;
}

/** Candidates that may be chosen. Ejected ones only if the request has tried all others. */
function eligibleOf(weighed: readonly WeighedCandidate[]): readonly WeighedCandidate[] {
    const free = weighed.filter(({ excludedBecause }) => excludedBecause === undefined);
    const full = weighed.some(({ excludedBecause }) => excludedBecause === "concurrency");
    return free.length > 0 || full ? free : weighed.filter(({ excludedBecause }) => excludedBecause === "ejected");
}

/** A target with more than the mean load is slow because of it, which does not make it a straggler. */
function noteBusy(known: readonly TargetKnowledge[], estimates: readonly LoadEstimate[]): void {
    const loads = estimates.map(inProgressOf);
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    known.forEach((target, index) => {
        target.busy = (loads[index] ?? 0) > mean * BUSY_FACTOR;
    });
}

function forgetAbsent(targets: Map<string, TargetKnowledge>, candidates: readonly Candidate[]): void {
    if (targets.size <= candidates.length + FORGOTTEN_ABOVE) {
        return;
    }
    const present = new Set(candidates.map(({ target }) => target));
    [...targets]
        .filter(([target, { load }]) => !present.has(target) && load.inProgress() === 0)
        .forEach(([target]) => targets.delete(target));
}
