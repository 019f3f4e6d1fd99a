/**
 * Router of one model or service. A choice compares a few candidates drawn at random by weight, and the holders of the
 * prompt's prefix. Draws keep daemons with the same lagging reports from sending everything to the same target.
 */
import { eject, isStraggler, medianFirstToken, noteResult, unknownHealth } from "./ejection.js";
import { createLoadBook } from "./load.js";
import { type CompleteRouterOptions, completeRouterOptions, type RouterOptions } from "./options.js";
import { drawByWeight } from "./pick.js";
import { createPrefixMap } from "./prefixes.js";
import type { Candidate, RouteChoice, Router, RouteRequest, WeighedCandidate } from "./types.js";
import { ejectedNow, type TargetKnowledge, weigh } from "./weigh.js";

/** Holders of the longest prefix that join a choice. */
const HOLDERS_DRAWN = 2;
/** Targets known beyond the current candidates before those without work are forgotten. */
const FORGOTTEN_ABOVE = 256;

/** Makes a router. */
export function createRouter(given: RouterOptions): Router {
    const options = completeRouterOptions(given);
    const prefixes = createPrefixMap(options.prefixBlocks);
    const targets = new Map<string, TargetKnowledge>();

    const knowledge = (target: string): TargetKnowledge => {
        const known = targets.get(target) ?? { load: createLoadBook(), health: unknownHealth() };
        targets.set(target, known);
        return known;
    };
    const median = (): number | undefined =>
        medianFirstToken([...targets.values()].map(({ health }) => health), options.stragglerSamples);

    const choose = (candidates: readonly Candidate[], request: RouteRequest, now: number): RouteChoice => {
        forgetAbsent(targets, candidates);
        const total = candidates.reduce((sum, { weight }) => sum + weight, 0);
        const context = {
            request,
            now,
            options,
            matched: prefixes.match(request.prefixes),
            median: median(),
            meanWeight: total / Math.max(1, candidates.filter(({ weight }) => weight > 0).length),
            ejected: ejectedNow(candidates, target => knowledge(target).health, now, options.ejectedShare),
        };
        const weighed = candidates.map(candidate => weigh(candidate, knowledge(candidate.target), context));
        const target = pick(weighed, candidates, options);
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
            if (failing || isStraggler(known.health, median(), options)) {
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

/** Picks the best of the drawn candidates; equal scores go to the one drawn first, so that weights hold when idle. */
function pick(
    weighed: readonly WeighedCandidate[],
    candidates: readonly Candidate[],
    { choices, random }: CompleteRouterOptions,
): string | undefined {
    const weights = new Map(candidates.map(({ target, weight }) => [target, weight]));
    const weightOf = ({ target, slowStart }: WeighedCandidate): number => (weights.get(target) ?? 0) * slowStart;
    const eligible = eligibleOf(weighed);
    const longest = Math.max(0, ...eligible.map(({ prefixBlocks }) => prefixBlocks));
    const holders = longest === 0 ? [] : eligible.filter(({ prefixBlocks }) => prefixBlocks === longest);
    const drawn = [
        ...drawByWeight(eligible, weightOf, choices, random),
        ...drawByWeight(holders, weightOf, HOLDERS_DRAWN, random),
    ];
    return drawn.reduce<WeighedCandidate | undefined>(
        (best, candidate) => best === undefined || candidate.score < best.score ? candidate : best,
        undefined,
    )?.target;
}

/** Candidates that may be chosen. Ejected ones only if the request has tried all others. */
function eligibleOf(weighed: readonly WeighedCandidate[]): readonly WeighedCandidate[] {
    const free = weighed.filter(({ excludedBecause }) => excludedBecause === undefined);
    const full = weighed.some(({ excludedBecause }) => excludedBecause === "concurrency");
    return free.length > 0 || full ? free : weighed.filter(({ excludedBecause }) => excludedBecause === "ejected");
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
