/**
 * Benchmark of rate limits shared between daemons: how far a team exceeds its limit, and how much of the limit it can
 * use, with all daemons connected and during a partition. Time is simulated; admission and demand tracker are the
 * production code.
 */
import {
    type Admission,
    createAdmission,
    createDemandTracker,
    type DemandTracker,
    type TeamShare,
} from "@damaskvale/core";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";

const LIMIT_PER_SECOND = 90;
const OFFERED_PER_SECOND = 180;
const TICK_MILLISECONDS = 10;
const EXCHANGE_INTERVAL_MILLISECONDS = 1_000;
/** Maximum delay until a demand report reaches another daemon. */
const MAXIMUM_DELIVERY_MILLISECONDS = 900;
const WARM_UP_MILLISECONDS = 30_000;
const WINDOW_MILLISECONDS = 10_000;
const TEAM: TeamShare = { team: "a", weight: 1, queueLength: 100, requestsPerSecond: LIMIT_PER_SECOND };

/** Way to compute the share of the limit of each daemon. */
interface SharingPolicy {
    readonly name: string;
    readonly baseline: boolean;
    share(tracker: DemandTracker, daemons: number, now: number): readonly TeamShare[];
}

const scaled = (factor: number): readonly TeamShare[] => [{ ...TEAM, requestsPerSecond: LIMIT_PER_SECOND * factor }];
const sharingPolicies: readonly SharingPolicy[] = [
    { name: "damaskvale", baseline: false, share: (tracker, daemons, now) => tracker.shares([TEAM], daemons, now) },
    { name: "even shares", baseline: true, share: (...[, daemons]) => scaled(1 / daemons) },
    { name: "whole limit at each daemon", baseline: true, share: () => scaled(1) },
];

interface Scenario {
    readonly daemons: number;
    /** Number of daemons on the smaller side of a partition; 0 if there is none. */
    readonly cutOff: number;
    /** Fraction of the demand that goes to the first daemon; the rest is distributed evenly. */
    readonly skew: number;
}

const scenarios: readonly Scenario[] = [3, 9, 20].flatMap(daemons => [
    { daemons, cutOff: 0, skew: 0 },
    { daemons, cutOff: 0, skew: 0.7 },
    { daemons, cutOff: Math.floor(daemons / 3), skew: 0 },
]);

/** Simulates a scenario; returns the times of all admissions after the warm-up. */
function simulate(
    { daemons, cutOff, skew }: Scenario,
    sharing: SharingPolicy,
    seed: number,
    milliseconds: number,
): number[] {
    const random = xoroshiro128plus(seed);
    const trackers = Array.from({ length: daemons }, () => createDemandTracker());
    const admissions = Array.from({ length: daemons }, () => createAdmission({ capacity: 10_000 }));
    const admitted: number[] = [];
    let pendingDeliveries: { readonly at: number; readonly deliver: () => void; }[] = [];
    let count = 0;
    let nextArrival = 0;

    const exchangeDemand = (now: number): void =>
        trackers.forEach((tracker, from) => {
            const demand = tracker.recordMeasured((admissions[from] as Admission).demand(now), now);
            trackers.forEach((other, to) => {
                const cut = now >= WARM_UP_MILLISECONDS / 2 && (from < cutOff) !== (to < cutOff);
                if (from !== to && !cut) {
                    const at = now + uniformFloat64(random) * MAXIMUM_DELIVERY_MILLISECONDS;
                    pendingDeliveries.push({ at, deliver: () => other.recordPeer(`d${from}`, demand, at) });
                }
            });
            admissions[from]?.configure(sharing.share(tracker, daemons, now), now);
        });
    const recordAdmission = (daemon: number, id: string, now: number): void => {
        admissions[daemon]?.finish(id, 0, now);
        if (now >= WARM_UP_MILLISECONDS) {
            admitted.push(now);
        }
    };
    const handleArrival = (now: number): void => {
        const daemon = uniformFloat64(random) < skew ? 0 : Math.floor(uniformFloat64(random) * daemons);
        const id = `r${count}`;
        count += 1;
        const request = { id, team: "a", priority: 5, tokens: 0, deadlineAt: now + 60_000 };
        if (admissions[daemon]?.offer(request, now).kind === "admitted") {
            recordAdmission(daemon, id, now);
        }
    };

    for (let now = 0; now < milliseconds; now += TICK_MILLISECONDS) {
        if (now % EXCHANGE_INTERVAL_MILLISECONDS === 0) {
            exchangeDemand(now);
        }
        pendingDeliveries.filter(({ at }) => at <= now).forEach(({ deliver }) => deliver());
        pendingDeliveries = pendingDeliveries.filter(({ at }) => at > now);
        for (; nextArrival <= now; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / OFFERED_PER_SECOND) {
            handleArrival(now);
        }
        admissions.forEach((admission, daemon) =>
            admission.poll(now).admitted.forEach(id => recordAdmission(daemon, id, now))
        );
    }
    return admitted;
}

/** Returns the highest number of admissions in any window, in percent of the number that the limit allows. */
function highestWindowUse(admitted: readonly number[]): number {
    const counts = admitted.map((end, index) => {
        const first = admitted.findIndex(at => at > end - WINDOW_MILLISECONDS);
        return index - first + 1;
    });
    return 100 * Math.max(0, ...counts) / (LIMIT_PER_SECOND * WINDOW_MILLISECONDS / 1_000);
}

function measure(scenario: Scenario, sharing: SharingPolicy, { seed, quick }: BenchOptions): BenchFigure[] {
    const milliseconds = quick ? 50_000 : 150_000;
    const admitted = simulate(scenario, sharing, seed, milliseconds);
    const averageUse = 100 * admitted.length / (LIMIT_PER_SECOND * (milliseconds - WARM_UP_MILLISECONDS) / 1_000);
    const { daemons, cutOff, skew } = scenario;
    const demand = skew === 0 ? "even demand" : `${100 * skew}% of the demand at one`;
    const name = `${daemons} daemons, ${cutOff === 0 ? "whole" : `${cutOff} cut off`}, ${demand}`;
    const figure = (label: string, value: number, better: BenchFigure["better"]): BenchFigure => ({
        scenario: name,
        subject: sharing.name,
        baseline: sharing.baseline,
        measure: label,
        unit: "% of the limit",
        value,
        better,
    });
    return [
        figure("used on average", averageUse, "higher"),
        figure("used in the greatest 10 s", highestWindowUse(admitted), "lower"),
    ];
}

/** Benchmark of rate limits shared between daemons. */
export const limitsBench: Bench = {
    name: "limits",
    run: async options => ({
        name: "limits",
        ...options,
        figures: scenarios.flatMap(scenario => sharingPolicies.flatMap(sharing => measure(scenario, sharing, options))),
    }),
};
