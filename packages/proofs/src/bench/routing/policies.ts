/** Routing policies that the benchmark compares: the production router and the baselines. */
import { type AttemptObservation, type Candidate, createRouter, type RouteRequest } from "@damaskvale/core";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { CacheChange } from "./engine.js";

/** Target chooser of one daemon. */
export interface Chooser {
    choose(candidates: readonly Candidate[], request: RouteRequest, now: number): string;
    sent(target: string, request: RouteRequest, now: number): void;
    finished(observation: AttemptObservation): void;
    cacheEvent(target: string, change: CacheChange): void;
    cacheGap(target: string): void;
}

/** Routing policy. */
export interface Policy {
    readonly name: string;
    readonly baseline: boolean;
    create(seed: number): Chooser;
}

const noFeedback = {
    sent: () => undefined,
    finished: () => undefined,
    cacheEvent: () => undefined,
    cacheGap: () => undefined,
};

/** Returns the target with the lowest measure; breaks ties at random. */
function chooseLeast(
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
        return { ...noFeedback, choose: candidates => chooseLeast(candidates, () => 0, random) };
    },
};

const roundRobin: Policy = {
    name: "round robin",
    baseline: true,
    create: seed => {
        let next = seed;
        return {
            ...noFeedback,
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
            ...noFeedback,
            choose: candidates => chooseLeast(candidates, ({ target }) => open.get(target) ?? 0, random),
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
        return { ...noFeedback, choose: candidates => chooseLeast(candidates, reported, random) };
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

/** All policies: the production router first, then the baselines. */
export const policies: readonly Policy[] = [damaskvale, randomPolicy, roundRobin, leastOutstanding, leastReported];
