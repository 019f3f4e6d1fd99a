/**
 * Benchmark of limits shared between daemons: how far one team gets above its limit, and how much of the limit it can
 * use, with all daemons connected and with a part cut off. Modelled time; admission and demand book are the real ones.
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
const STATE_MILLISECONDS = 1_000;
/** A statement reaches each other daemon after up to this time. */
const DELIVERY_MILLISECONDS = 900;
const WARM_UP_MILLISECONDS = 30_000;
const WINDOW_MILLISECONDS = 10_000;
const TEAM: TeamShare = { team: "a", weight: 1, queueLength: 100, requestsPerSecond: LIMIT_PER_SECOND };

/** Computes the share of a daemon in one way. */
interface Sharing {
    readonly name: string;
    readonly baseline: boolean;
    share(book: DemandTracker, daemons: number, now: number): readonly TeamShare[];
}

const scaled = (factor: number): readonly TeamShare[] => [{ ...TEAM, requestsPerSecond: LIMIT_PER_SECOND * factor }];
const sharings: readonly Sharing[] = [
    { name: "damaskvale", baseline: false, share: (book, daemons, now) => book.shares([TEAM], daemons, now) },
    { name: "even shares", baseline: true, share: (...[, daemons]) => scaled(1 / daemons) },
    { name: "whole limit at each daemon", baseline: true, share: () => scaled(1) },
];

interface Scenario {
    readonly daemons: number;
    /** Daemons on the smaller side of a partition in the measured time. */
    readonly cutOff: number;
    /** Part of the demand that reaches the first daemon; the rest is spread evenly. */
    readonly skew: number;
}

const scenarios: readonly Scenario[] = [3, 9, 20].flatMap(daemons => [
    { daemons, cutOff: 0, skew: 0 },
    { daemons, cutOff: 0, skew: 0.7 },
    { daemons, cutOff: Math.floor(daemons / 3), skew: 0 },
]);

/** Plays a scenario; returns the times of all admissions after the warm-up. */
function play({ daemons, cutOff, skew }: Scenario, sharing: Sharing, seed: number, milliseconds: number): number[] {
    const random = xoroshiro128plus(seed);
    const books = Array.from({ length: daemons }, () => createDemandTracker());
    const admissions = Array.from({ length: daemons }, () => createAdmission({ capacity: 10_000 }));
    const admitted: number[] = [];
    let mail: { readonly at: number; readonly deliver: () => void; }[] = [];
    let count = 0;
    let nextArrival = 0;

    const exchange = (now: number): void =>
        books.forEach((book, from) => {
            const demand = book.recordMeasured((admissions[from] as Admission).demand(now), now);
            books.forEach((other, to) => {
                const cut = now >= WARM_UP_MILLISECONDS / 2 && (from < cutOff) !== (to < cutOff);
                if (from !== to && !cut) {
                    const at = now + uniformFloat64(random) * DELIVERY_MILLISECONDS;
                    mail.push({ at, deliver: () => other.recordPeer(`d${from}`, demand, at) });
                }
            });
            admissions[from]?.configure(sharing.share(book, daemons, now), now);
        });
    const run = (daemon: number, id: string, now: number): void => {
        admissions[daemon]?.finish(id, 0, now);
        if (now >= WARM_UP_MILLISECONDS) {
            admitted.push(now);
        }
    };
    const arrive = (now: number): void => {
        const daemon = uniformFloat64(random) < skew ? 0 : Math.floor(uniformFloat64(random) * daemons);
        const id = `r${count}`;
        count += 1;
        const request = { id, team: "a", priority: 5, tokens: 0, deadlineAt: now + 60_000 };
        if (admissions[daemon]?.offer(request, now).kind === "admitted") {
            run(daemon, id, now);
        }
    };

    for (let now = 0; now < milliseconds; now += TICK_MILLISECONDS) {
        if (now % STATE_MILLISECONDS === 0) {
            exchange(now);
        }
        mail.filter(({ at }) => at <= now).forEach(({ deliver }) => deliver());
        mail = mail.filter(({ at }) => at > now);
        for (; nextArrival <= now; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / OFFERED_PER_SECOND) {
            arrive(now);
        }
        admissions.forEach((admission, daemon) => admission.poll(now).admitted.forEach(id => run(daemon, id, now)));
    }
    return admitted;
}

/** Most admissions in any window, in percent of what the rate allows in it. */
function greatestWindow(admitted: readonly number[]): number {
    const counts = admitted.map((end, index) => {
        const first = admitted.findIndex(at => at > end - WINDOW_MILLISECONDS);
        return index - first + 1;
    });
    return 100 * Math.max(0, ...counts) / (LIMIT_PER_SECOND * WINDOW_MILLISECONDS / 1_000);
}

function measure(scenario: Scenario, sharing: Sharing, { seed, quick }: BenchOptions): BenchFigure[] {
    const milliseconds = quick ? 50_000 : 150_000;
    const admitted = play(scenario, sharing, seed, milliseconds);
    const used = 100 * admitted.length / (LIMIT_PER_SECOND * (milliseconds - WARM_UP_MILLISECONDS) / 1_000);
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
        figure("used on average", used, "higher"),
        figure("used in the greatest 10 s", greatestWindow(admitted), "lower"),
    ];
}

/** Benchmark of limits. */
export const limitsBench: Bench = {
    name: "limits",
    run: async options => ({
        name: "limits",
        ...options,
        figures: scenarios.flatMap(scenario => sharings.flatMap(sharing => measure(scenario, sharing, options))),
    }),
};
