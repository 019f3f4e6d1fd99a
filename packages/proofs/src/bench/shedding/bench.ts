/** Benchmark of load shedding: what callers receive from each policy of admission on the same played loads. */
import { playFleet } from "@damaskvale/core/dist/shedding/tests/playedfleet.js";
import { heavyLoad, shortLoads, usualLoad } from "@damaskvale/core/dist/shedding/tests/playedloads.js";
import {
    chosenPolicy,
    currentPolicy,
    delayCostPolicy,
    type PolicyFactory,
    strictPriorityPolicy,
} from "@damaskvale/core/dist/shedding/tests/playedpolicies.js";
import type { PlayedResult, PlayedShares } from "@damaskvale/core/dist/shedding/tests/playedtally.js";
import type { Bench, BenchFigure } from "../types.js";

const policies: readonly (readonly [string, PolicyFactory])[] = [
    ["placement alone", currentPolicy],
    ["strict priority", strictPriorityPolicy],
    ["cost of delay per work", delayCostPolicy],
    ["chosen", chosenPolicy],
];
const SEEDS = 3;

type Measure = readonly [
    name: string,
    unit: string,
    better: BenchFigure["better"],
    read: (result: PlayedResult) => number,
];

const percent =
    (read: (shares: PlayedShares) => number, priority?: number) => ({ all, byPriority }: PlayedResult): number => {
        const shares = priority === undefined ? all : byPriority.get(priority);
        return shares === undefined ? 0 : 100 * read(shares);
    };
const measures: readonly Measure[] = [
    ["value", "%", "higher", percent(({ value }) => value)],
    ["in time", "%", "higher", percent(({ inTime }) => inTime)],
    ["late", "%", "lower", percent(({ late }) => late)],
    ["refused", "%", "lower", percent(({ refused }) => refused)],
    ...[0, 1, 2].flatMap((priority): Measure[] => [
        [`in time, ${priority}`, "%", "higher", percent(({ inTime }) => inTime, priority)],
        [`refused, ${priority}`, "%", "lower", percent(({ refused }) => refused, priority)],
    ]),
    ["largest tenth served", "% of all", "higher", percent(({ largestTenth }) => largestTenth)],
    ["held too long", "%", "lower", percent(({ heldTooLong }) => heldTooLong)],
];

/** Benchmark of load shedding. */
export const sheddingBench: Bench = {
    name: "shedding",
    run: ({ seed, quick }) => {
        const seeds = Array.from({ length: quick ? 1 : SEEDS }, () => seed).map((first, index) => first + index);
        const figures = [usualLoad, heavyLoad, ...shortLoads].flatMap(load =>
            policies.flatMap(([subject, policy]) => {
                const results = seeds.map(each => playFleet(load, policy, each));
                return measures.map(([measure, unit, better, read]): BenchFigure => ({
                    ...{ scenario: load.name, subject, baseline: policy !== chosenPolicy, measure, unit, better },
                    value: results.reduce((sum, result) => sum + read(result), 0) / results.length,
                }));
            })
        );
        return Promise.resolve({ name: "shedding", seed, quick, figures });
    },
};
