/** Fuzz module of the request rate that a target states, while daemons are cut off, paused and started again. */
import fc from "fast-check";
import { ok } from "node:assert/strict";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import {
    createProductionGate,
    type FleetPhase,
    mostWithinWindow,
    simulateFleet,
} from "../bench/limits/limitedfleet.js";
import { createFuzzModule, type Trace } from "./types.js";

interface TargetLimitScenario {
    readonly seed: number;
    readonly daemons: number;
    readonly rate: number;
    readonly phases: readonly {
        readonly seconds: number;
        readonly offeredPerSecond: number;
        readonly sides: readonly number[];
        readonly paused: readonly number[];
        readonly restarted: readonly number[];
    }[];
}

/** Time after the first statement from which the rate must be kept. */
const STABLE_MILLISECONDS = 3_000;
const WINDOW_SECONDS = 4;
const RECOVERY_MILLISECONDS = 3_000;
const LOAD_PER_SECOND = 60;

/**
 * All daemons that know the limit, also those that are disturbed, may send one and a half times the rate and 5
 * requests in 4 s. The platform excuses the disturbed ones.
 */
async function runTargetLimits({ seed, daemons, rate, phases }: TargetLimitScenario, trace: Trace): Promise<void> {
    const calm = { sideOf: () => 0, isPaused: () => false, restarted: [], offeredPerSecond: LOAD_PER_SECOND };
    const limited = phases.map((phase): FleetPhase => ({
        milliseconds: phase.seconds * 1_000,
        statedRate: rate,
        offeredPerSecond: phase.offeredPerSecond,
        sideOf: daemon => phase.sides[daemon % phase.sides.length] ?? 0,
        isPaused: daemon => phase.paused.includes(daemon),
        restarted: phase.restarted.filter(daemon => daemon < daemons),
    }));
    const all: FleetPhase[] = [
        { ...calm, milliseconds: STABLE_MILLISECONDS, statedRate: rate },
        ...limited,
        { ...calm, milliseconds: RECOVERY_MILLISECONDS + Math.ceil(2_000 / rate) },
        { ...calm, milliseconds: WINDOW_SECONDS * 1_000 },
    ];
    const sent = simulateFleet(daemons, all, createProductionGate, xoroshiro128plus(seed));
    sent.forEach(({ daemon, at }) => trace(`${at}: d${daemon} sends`));
    const limitedUntil = [STABLE_MILLISECONDS, ...limited.map(({ milliseconds }) => milliseconds)]
        .reduce((sum, milliseconds) => sum + milliseconds, 0);
    const most = mostWithinWindow(sent.filter(({ at, told }) => told && at < limitedUntil), STABLE_MILLISECONDS);
    const bound = 1.5 * WINDOW_SECONDS * rate + 5;
    ok(most <= bound, `the target got ${most} requests in 4 s; the bound is ${bound}`);
    const end = all.reduce((sum, { milliseconds }) => sum + milliseconds, 0);
    const after = sent.filter(({ at }) => at >= end - WINDOW_SECONDS * 1_000).length;
    ok(after > WINDOW_SECONDS * LOAD_PER_SECOND / 2, `only ${after} requests were sent in 4 s after the limit ended`);
}

/** Fuzz module of the stated rate of one target. */
export const targetLimitsFuzz = createFuzzModule<TargetLimitScenario>(
    "targetlimits",
    fc.record({
        seed: fc.nat(),
        daemons: fc.integer({ min: 1, max: 14 }),
        rate: fc.constantFrom(0.3, 0.9, 2.4, 7),
        phases: fc.array(
            fc.record({
                seconds: fc.integer({ min: 1, max: 9 }),
                offeredPerSecond: fc.constantFrom(0.5, 4, 15, 80),
                sides: fc.oneof(fc.constant([0]), fc.array(fc.nat(2), { minLength: 1, maxLength: 9 })),
                paused: fc.oneof(fc.constant([]), fc.array(fc.nat(13), { maxLength: 5 })),
                restarted: fc.oneof(fc.constant([]), fc.array(fc.nat(13), { maxLength: 3 })),
            }),
            { minLength: 1, maxLength: 6, size: "max" },
        ),
    }),
    runTargetLimits,
);
