/**
 * Benchmark of a cold target: the most requests that it gets within a second from all daemons together against its bound, how much
 * of the bound stays unused, and what a check of one target costs. The load is simulated; shares and pacing are the production
 * code. The values for 410 daemons follow from the slope over the simulated fleets.
 */
import { coldBound, computeLimitShare, createRequestPacer, type RequestPacer } from "@damaskvale/core";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import {
    COLD_START,
    type ColdGate,
    type ColdGateContext,
    createProductionTargets,
    createTarget,
    mostWithinSecond,
    simulateColdFleet,
    type SimulatedDaemon,
    TOLERANCE,
} from "./coldfleet.js";
import { measureCheckCosts } from "./costs.js";

const FLEETS: readonly number[] = [8, 76, 195];
const EXTRAPOLATED_FLEET = 410;
const RATE = COLD_START.requestsPerSecond;
const BOUND = coldBound(RATE, TOLERANCE);

/** Gate with a share of the rate and one request saved up. */
function createShareGate(requestsPerSecond: number, initialLevel: number, startedAt: number): ColdGate {
    const pacer: RequestPacer = createRequestPacer({ requestsPerSecond, initialLevel }, startedAt);
    return { mayTake: now => pacer.waitMilliseconds(now) === 0, taken: now => pacer.recordSent(now) };
}

function createProductionGate(context: ColdGateContext): ColdGate {
    const target = createTarget("target");
    const coldTargets = createProductionTargets(context, [target]);
    return {
        mayTake: () => coldTargets.waitMilliseconds(target) === 0,
        taken: () => coldTargets.recordSent(target),
    };
}

/** Gate with the division for targets that state their rate, of a daemon that hears all others. */
function createRateGate({ self, now, known }: ColdGateContext): ColdGate {
    const { requestsPerSecond, initialLevel } = computeLimitShare({
        target: { id: "target", dataCentre: "z0" },
        requestsPerSecond: RATE,
        self: { daemon: self },
        reachable: known().filter(name => name !== self).map(daemon => ({ daemon })),
        knownDaemons: known().length,
    });
    return createShareGate(requestsPerSecond, initialLevel, now());
}

interface Policy {
    readonly name: string;
    readonly baseline: boolean;
    readonly createGate: (context: ColdGateContext) => ColdGate;
}

const policies: readonly Policy[] = [
    { name: "damaskvale", baseline: false, createGate: createProductionGate },
    { name: "division for stated rates", baseline: true, createGate: createRateGate },
    {
        name: "even shares",
        baseline: true,
        createGate: ({ known, now }) => createShareGate(RATE / known().length, 1, now()),
    },
];

interface Scenario {
    readonly name: string;
    readonly offeredPerDaemon: (fleet: number) => number;
    /** Whether the load of each daemon is the same in all fleets, so that a slope over them says something. */
    readonly isExtrapolated: boolean;
    readonly daemonsOf: (names: readonly string[]) => SimulatedDaemon[];
}

/** Requests per second of each daemon while no other target has room, and of all daemons for one target of many. */
const SCARCE_PER_DAEMON = 20;
const USUAL_TOTAL = 30;
const CHANGE_MILLISECONDS = 5_000;
/** Time after which other daemons learn of a start or an end. */
const LEARNING_MILLISECONDS = 800;
const PAUSE_MILLISECONDS = 2_000;
const CHANGED_DAEMONS = 3;

const steady = (name: string, knownAt: SimulatedDaemon["knownAt"]): SimulatedDaemon => ({
    name,
    startedAt: -10_000,
    stoppedAt: Number.POSITIVE_INFINITY,
    runsAt: () => true,
    knownAt,
});
const scarce = (): number => SCARCE_PER_DAEMON;
const scenarios: readonly Scenario[] = [
    {
        name: "other targets full",
        offeredPerDaemon: scarce,
        isExtrapolated: true,
        daemonsOf: names => names.map(name => steady(name, () => names)),
    },
    {
        name: "other targets free",
        offeredPerDaemon: fleet => USUAL_TOTAL / fleet,
        isExtrapolated: false,
        daemonsOf: names => names.map(name => steady(name, () => names)),
    },
    {
        name: "three daemons replaced by others",
        offeredPerDaemon: scarce,
        isExtrapolated: true,
        daemonsOf: names => {
            const added = names.slice(0, CHANGED_DAEMONS).map(name => `${name}-next`);
            const later = [...names.slice(CHANGED_DAEMONS), ...added];
            const knownAt = (now: number) => now < CHANGE_MILLISECONDS + LEARNING_MILLISECONDS ? names : later;
            return [
                ...names.map((name, index) => ({
                    ...steady(name, knownAt),
                    stoppedAt: index < CHANGED_DAEMONS
                        ? CHANGE_MILLISECONDS + LEARNING_MILLISECONDS
                        : Number.POSITIVE_INFINITY,
                })),
                ...added.map(name => ({ ...steady(name, () => later), startedAt: CHANGE_MILLISECONDS })),
            ];
        },
    },
    {
        name: "a third restarted",
        offeredPerDaemon: scarce,
        isExtrapolated: true,
        daemonsOf: names =>
            names.flatMap((name, index) =>
                index % 3 > 0 ? [steady(name, () => names)] : [
                    { ...steady(name, () => names), stoppedAt: CHANGE_MILLISECONDS },
                    { ...steady(name, () => names), startedAt: CHANGE_MILLISECONDS },
                ]
            ),
    },
    {
        name: "a third paused and resumed",
        offeredPerDaemon: scarce,
        isExtrapolated: true,
        daemonsOf: names =>
            names.map((name, index) => ({
                ...steady(name, () => names),
                runsAt: now =>
                    index % 3 > 0 || now < CHANGE_MILLISECONDS || now >= CHANGE_MILLISECONDS + PAUSE_MILLISECONDS,
            })),
    },
];

interface Measured {
    readonly most: number;
    readonly unused: number;
}

function measure(
    fleet: number,
    { offeredPerDaemon, daemonsOf }: Scenario,
    { createGate }: Policy,
    { seed, quick }: BenchOptions,
): Measured {
    const seconds = quick ? 10 : 30;
    const names = Array.from({ length: fleet }, (...[, index]) => `d${index}`);
    const times = simulateColdFleet(
        { daemons: daemonsOf(names), milliseconds: seconds * 1_000, offeredPerDaemon: offeredPerDaemon(fleet) },
        createGate,
        xoroshiro128plus(seed),
    );
    return { most: mostWithinSecond(times), unused: 100 * (1 - times.length / seconds / BOUND) };
}

/** Returns the value of the least squares line at the extrapolated fleet. */
function extrapolate(values: readonly number[]): number {
    const mean = (numbers: readonly number[]): number =>
        numbers.reduce((sum, value) => sum + value, 0) / numbers.length;
    const [meanFleet, meanValue] = [mean(FLEETS), mean(values)];
    const slope = mean(FLEETS.map((fleet, index) => (fleet - meanFleet) * ((values[index] ?? 0) - meanValue)))
        / mean(FLEETS.map(fleet => (fleet - meanFleet) ** 2));
    return meanValue + slope * (EXTRAPOLATED_FLEET - meanFleet);
}

function figuresOf(scenario: Scenario, policy: Policy, options: BenchOptions): BenchFigure[] {
    const measured = FLEETS.map(fleet => measure(fleet, scenario, policy, options));
    const extrapolated = {
        fleet: `${EXTRAPOLATED_FLEET} daemons by slope`,
        most: extrapolate(measured.map(({ most }) => most)),
        unused: extrapolate(measured.map(({ unused }) => unused)),
    };
    const rows = [
        ...measured.map((values, index) => ({ ...values, fleet: `${FLEETS[index]} daemons` })),
        ...scenario.isExtrapolated ? [extrapolated] : [],
    ];
    return rows.flatMap(({ fleet, most, unused }) => {
        const common = { scenario: `${fleet}, ${scenario.name}`, subject: policy.name, baseline: policy.baseline };
        return [
            { ...common, measure: "greatest second", unit: `requests, bound ${BOUND}`, value: most, better: "lower" },
            { ...common, measure: "unused on average", unit: "% of the bound", value: unused, better: "lower" },
        ] as const;
    });
}

/** Benchmark of a cold target. */
export const coldTargetsBench: Bench = {
    name: "coldtargets",
    run: async options => ({
        name: "coldtargets",
        ...options,
        figures: [
            ...scenarios.flatMap(scenario => policies.flatMap(policy => figuresOf(scenario, policy, options))),
            ...measureCheckCosts([...FLEETS, EXTRAPOLATED_FLEET], options),
        ],
    }),
};
