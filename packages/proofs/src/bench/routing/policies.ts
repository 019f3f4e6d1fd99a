/** The policy and the baselines that the routing benchmark compares. */
import { type AttemptObservation, type Candidate, createRouter, type RouteRequest } from "@damaskvale/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CacheChange } from "./engine.js";

/** Chooser of one daemon. */
export interface Chooser {
    choose(candidates: readonly Candidate[], request: RouteRequest, now: number): string;
    sent(target: string, request: RouteRequest, now: number): void;
    finished(observation: AttemptObservation): void;
    cacheEvent(target: string, change: CacheChange): void;
    cacheGap(target: string): void;
}

/** A policy under comparison. */
export interface Policy {
    readonly name: string;
    readonly baseline: boolean;
    create(seed: number): Chooser;
}

const ignored = {
    sent: () => undefined,
    finished: () => undefined,
    cacheEvent: () => undefined,
    cacheGap: () => undefined,
};

/** Target with the least of a measure; ties are broken at random. */
function leastBy(
    candidates: readonly Candidate[],
    measure: (candidate: Candidate) => number,
    random: ReturnType<typeof xoroshiro128plus>,
): string {
    const least = Math.min(...candidates.map(measure));
    const tied = candidates.filter(candidate => measure(candidate) === least);
    return tied[uniformInt(random, 0, tied.length - 1)]?.target ?? "";
}

const randomPolicy: Policy = {
    name: "random",
    baseline: true,
    create: seed => {
        const random = xoroshiro128plus(seed);
        return { ...ignored, choose: candidates => leastBy(candidates, () => 0, random) };
    },
};

const roundRobin: Policy = {
    name: "round robin",
    baseline: true,
    create: seed => {
        let next = seed;
        return {
            ...ignored,
            choose: candidates => {
                next += 1;
                return candidates[next % candidates.length]?.target ?? "";
            },
        };
    },
};

const leastOutstanding: Policy = {
    name: "least outstanding",
    baseline: true,
    create: seed => {
        const random = xoroshiro128plus(seed);
        const open = new Map<string, number>();
        const add = (target: string, change: number) => open.set(target, (open.get(target) ?? 0) + change);
        return {
            ...ignored,
            choose: candidates => leastBy(candidates, ({ target }) => open.get(target) ?? 0, random),
            sent: target => add(target, 1),
            finished: ({ target }) => add(target, -1),
        };
    },
};

const leastReported: Policy = {
    name: "least reported",
    baseline: true,
    create: seed => {
        const random = xoroshiro128plus(seed);
        const reported = ({ load }: Candidate) => (load?.running ?? 0) + (load?.queued ?? 0);
        return { ...ignored, choose: candidates => leastBy(candidates, reported, random) };
    },
};

const damaskvale: Policy = {
    name: "damaskvale",
    baseline: false,
    create: seed => {
        const router = createRouter({ random: xoroshiro128plus(seed), prefixBlocks: 4_096 });
        return {
            choose: (candidates, request, now) => router.choose(candidates, request, now).target ?? "",
            sent: router.sent,
            finished: router.finished,
            cacheEvent: router.cacheEvent,
            cacheGap: router.cacheGap,
        };
    },
};

/** The policy and its baselines. */
export const policies: readonly Policy[] = [damaskvale, randomPolicy, roundRobin, leastOutstanding, leastReported];
