/** Benchmark of routing, compared with random, round robin, least outstanding and least reported. */
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import { createOutcome, type RoutingOutcome, type RoutingScenario, simulateRouting } from "./model.js";
import { policies, type Policy } from "./policies.js";

const plain: RoutingScenario = {
    name: "lagging reports",
    daemons: 9,
    engines: 12,
    requestsPerSecond: 54,
    reportLagMilliseconds: 1_500,
    prefixes: 0,
    heavyShare: 0,
    slowdownFactor: 1,
};
const scenarios: readonly RoutingScenario[] = [
    plain,
    { ...plain, name: "many daemons", daemons: 60, requestsPerSecond: 52 },
    { ...plain, name: "prefix sharing", prefixes: 60, requestsPerSecond: 44 },
    { ...plain, name: "hot prefixes", prefixes: 3, requestsPerSecond: 44 },
    { ...plain, name: "hot prefixes, many daemons", daemons: 60, prefixes: 3, requestsPerSecond: 44 },
    { ...plain, name: "uneven teams", heavyShare: 0.3, requestsPerSecond: 32 },
    { ...plain, name: "straggler", slowdownFactor: 4, requestsPerSecond: 44 },
];

/** Benchmark of routing on modelled engines in simulated time. */
export const routingBench: Bench = {
    name: "routing",
    run: async options => ({
        name: "routing",
        ...options,
        figures: scenarios.flatMap(scenario => policies.flatMap(policy => measure(scenario, policy, options))),
    }),
};

function measure(scenario: RoutingScenario, policy: Policy, { seed, quick }: BenchOptions): BenchFigure[] {
    const outcome = createOutcome(scenario.engines);
    const runs = quick ? 1 : 5;
    [...Array(runs).keys()].forEach(run => {
        simulateRouting(scenario, policy, { seed: seed + run, milliseconds: quick ? 40_000 : 130_000 }, outcome);
    });
    const figure = (name: string, unit: string, value: number, better: BenchFigure["better"]): BenchFigure => ({
        scenario: scenario.name,
        subject: policy.name,
        baseline: policy.baseline,
        measure: name,
        unit,
        value,
        better,
    });
    return [
        figure("first token p95", "ms", outcome.firstToken.getValueAtPercentile(95), "lower"),
        figure("first token p50", "ms", outcome.firstToken.getValueAtPercentile(50), "lower"),
        figure("answer p95", "ms", outcome.answer.getValueAtPercentile(95), "lower"),
        ...(scenario.prefixes === 0
            ? []
            : [figure("prefix hits", "% of blocks", 100 * outcome.hits / outcome.blocksRequested, "higher")]),
        figure(
            "work of the last engine",
            "% of an even share",
            evenShare(outcome, outcome.requests.at(-1) ?? 0),
            "lower",
        ),
        figure(
            "work of the busiest engine",
            "% of an even share",
            evenShare(outcome, Math.max(...outcome.requests)),
            "lower",
        ),
    ];
}

function evenShare({ requests }: RoutingOutcome, count: number): number {
    const total = requests.reduce((sum, each) => sum + each, 0);
    return total === 0 ? 0 : 100 * count * requests.length / total;
}
