/** Benchmark of the planner: group downtime and stranded accelerators, compared with first fit without spares. */
import { planFirstFit, planGroups, type RowOf } from "@damaskvale/core";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import { createDomains, type DayOptions, generateAbsences } from "./day.js";
import { type DayResult, DaySimulation } from "./simulation.js";

const MEMBERS = 8;
/** Cost weights of each user: the Office gives more weight to downtime, Strumpfkreis to stranded accelerators. */
export const users = {
    office: { downtimeWeight: 3, strandedWeight: 1 },
    strumpfkreis: { downtimeWeight: 1, strandedWeight: 3 },
} as const;
/** Replicas in each data centre of 57 hosts; the remaining hosts are spares. */
const REPLICAS = [7, 6, 5];

/** 1,197 hosts in 21 data centres, each with 57 hosts in three fabric domains. */
const size = { dataCentres: 21, domainsPerDataCentre: 3, hostsPerDomain: 19 };
const ordinaryFaults = { failures: 8, replacements: 130, domainOutages: 0 };
const scenarios: readonly Scenario[] = [
    { name: "ordinary day", faults: ordinaryFaults, subjects: oneModel },
    { name: "six domains dark", faults: { ...ordinaryFaults, domainOutages: 6 }, subjects: oneModel },
    { name: "two models", faults: ordinaryFaults, subjects: twoModels },
    { name: "two models, six domains dark", faults: { ...ordinaryFaults, domainOutages: 6 }, subjects: twoModels },
];

interface Scenario {
    readonly name: string;
    readonly faults: Pick<DayOptions, "failures" | "replacements" | "domainOutages">;
    subjects(): Subject[];
}

interface Subject {
    readonly name: string;
    readonly baseline: boolean;
    readonly models: readonly RowOf<"model">[];
    readonly plan: typeof planFirstFit;
}

/** Benchmark of replica groups. */
export const groupsBench: Bench = {
    name: "groups",
    run: async ({ seed, quick }: BenchOptions) => {
        const days = quick ? 1 : 10;
        const figures = scenarios.flatMap(({ name: scenario, faults, subjects }) =>
            subjects().flatMap(subject => {
                const results = [...Array(days).keys()].flatMap(day =>
                    simulateDay({ seed: seed + day, ...size, ...faults }, subject)
                );
                return createFigures(scenario, subject, results, days);
            })
        );
        return { name: "groups", seed, quick, figures };
    },
};

type Weights = Pick<RowOf<"model">, "downtimeWeight" | "strandedWeight">;

function createModelRow(
    name: string,
    members: number,
    replicas: number,
    spares: number,
    weights: Weights,
): RowOf<"model"> {
    return { kind: "model", name, version: "1", members, replicas, dataCentres: [], spares, ...weights };
}

/** One model with the maximum number of replicas, or with fewer replicas and more spares. */
function oneModel(): Subject[] {
    const hosts = size.domainsPerDataCentre * size.hostsPerDomain;
    const model = (replicas: number, weights: Weights) =>
        createModelRow("large", MEMBERS, replicas, hosts - replicas * MEMBERS, weights);
    const maximumReplicas = REPLICAS[0] as number;
    const firstFit = { ...model(maximumReplicas, users.office), spares: 0 };
    return [
        { name: `first fit, ${maximumReplicas} replicas`, baseline: true, plan: planFirstFit, models: [firstFit] },
        ...Object.entries(users).flatMap(([user, weights]) =>
            REPLICAS.map(replicas => ({
                name: `${user} weights, ${replicas} replicas`,
                baseline: false,
                models: [model(replicas, weights)],
                plan: planGroups as typeof planFirstFit,
            }))
        ),
    ];
}

/** A large model, and a small model on the remaining hosts. */
function twoModels(): Subject[] {
    const models = (spares: number, { downtimeWeight, strandedWeight }: Weights) => [
        createModelRow("large", MEMBERS, 6, spares, { downtimeWeight, strandedWeight }),
        createModelRow("small", 2, 10, 0, { downtimeWeight: downtimeWeight / 2, strandedWeight }),
    ];
    return [
        { name: "first fit", baseline: true, plan: planFirstFit, models: models(0, users.office) },
        ...Object.entries(users).flatMap(([user, weights]) =>
            [0, 2].map(spares => ({
                name: `${user} weights, ${spares} spares`,
                baseline: false,
                models: models(spares, weights),
                plan: planGroups as typeof planFirstFit,
            }))
        ),
    ];
}

function simulateDay(options: DayOptions, { models, plan }: Subject): DayResult[] {
    const domains = createDomains(options);
    return generateAbsences(options).map(absences => new DaySimulation({ domains, absences, models, plan }).run());
}

function createFigures(scenario: string, subject: Subject, results: readonly DayResult[], days: number): BenchFigure[] {
    const perDay = (select: (result: DayResult) => number) =>
        results.reduce((total, result) => total + select(result), 0) / days;
    const down = perDay(result => result.downHours) * MEMBERS;
    const stranded = perDay(result => result.strandedHours);
    const figure = (measure: string, unit: string, value: number): BenchFigure => ({
        scenario,
        subject: subject.name,
        baseline: subject.baseline,
        measure,
        unit,
        value,
        better: "lower",
    });
    return [
        figure("group downtime", "replica h/day", down / MEMBERS),
        figure("stranded accelerators", "accelerator h/day", stranded),
        figure("spanning groups", "group h/day", perDay(result => result.spanningHours)),
        ...Object.entries(users).map(([user, { downtimeWeight, strandedWeight }]) =>
            figure(`cost with ${user} weights`, "accelerator h/day", downtimeWeight * down + strandedWeight * stranded)
        ),
    ];
}
