/**
 * Fuzz module of the planner of groups: two daemons own a domain in turn, while entries of the registry, orders, reports
 * and messages between them are late, out of order, lost or from the past, and hosts end. Rules TWO and PARTIAL of the
 * users' platform are checked by the engines at each order; the planner, the host records and the state are those of the
 * production code.
 */
import fc from "fast-check";
import { ok } from "node:assert/strict";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Fault, FaultKind, Random } from "./planner/types.js";
import { LAST_EFFECT_MILLISECONDS, PlannerWorld, RECOVERY_MILLISECONDS } from "./planner/world.js";
import { createFuzzModule, type Trace } from "./types.js";
import { withFakeTime } from "./world/time.js";

/** Scenario of the planner. */
export interface PlannerScenario {
    readonly seed: number;
    readonly hosts: number;
    readonly statesStart: boolean;
    readonly refusesOtherLeave: boolean;
    readonly faults: readonly Fault[];
}

/** All kinds of disturbances. */
export const faultKinds: readonly FaultKind[] = [
    "lateReads",
    "pastRead",
    "lateWrites",
    "cutFromStore",
    "cutFromDaemons",
    "handover",
    "overlap",
    "lostOrders",
    "lateOrders",
    "lostReports",
    "lostMessages",
    "lateMessages",
    "kill",
    "drain",
];

/** Kinds that make entries older than what engines have said; they are drawn twice as often. */
const entryFaultKinds: ReadonlySet<FaultKind> = new Set(["lateReads", "pastRead", "lateWrites", "cutFromStore"]);

const STEP_MILLISECONDS = 50;
/** Groups are formed and serve. */
const START_MILLISECONDS = 6_000;
const FAULT_SPAN_MILLISECONDS = 14_000;

/** Plays a scenario; throws if an invariant is violated. */
export async function playPlanner(scenario: PlannerScenario, trace: Trace): Promise<void> {
    await withFakeTime(async time => {
        const world = new PlannerWorld({
            hosts: scenario.hosts,
            statesStart: scenario.statesStart,
            resultOfOtherLeave: scenario.refusesOtherLeave ? "conflict" : "already-holds",
            faults: scenario.faults,
            now: time.now,
            random: createRandom(scenario.seed),
            trace,
        });
        const playUntil = async (milliseconds: number): Promise<void> => {
            while (world.elapsed < milliseconds) {
                await time.advance(STEP_MILLISECONDS);
                world.step();
                ok(world.violations.length === 0, world.violations[0]);
            }
        };
        try {
            const end = Math.max(START_MILLISECONDS, ...scenario.faults.map(endOf));
            await playUntil(end + RECOVERY_MILLISECONDS);
            const missing = world.missingModels();
            ok(missing.length === 0, `${world.elapsed}: no group serves ${missing.join()}: ${world.describe()}`);
            const hidden = world.hiddenHeads();
            ok(
                hidden.every(heads => heads.length === 0),
                `${world.elapsed}: heads hidden from daemons: ${JSON.stringify(hidden)}: ${world.describe()}`,
            );
        }
        finally {
            world.stop();
        }
    });
}

/** Returns when the last effect of a disturbance has arrived. */
function endOf({ kind, at, milliseconds }: Fault): number {
    const isLasting = kind === "lateOrders" || kind === "drain" || kind === "lateWrites";
    return at + milliseconds + (isLasting ? LAST_EFFECT_MILLISECONDS : 0);
}

function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return {
        between: (lowest, highest) => uniformInt(generator, lowest, highest),
        chance: probability => uniformFloat64(generator) < probability,
    };
}

/** Returns scenarios with disturbances of up to three of the given kinds, so that each kind meets itself and a few others. */
export function plannerScenarios(kinds: readonly FaultKind[]): fc.Arbitrary<PlannerScenario> {
    const weighted = [...kinds, ...kinds.filter(kind => entryFaultKinds.has(kind))];
    const chosenKinds = fc.uniqueArray(fc.constantFrom(...weighted), { minLength: 1, maxLength: 3 });
    return chosenKinds.chain(chosen =>
        fc.record({
            seed: fc.nat(),
            hosts: fc.integer({ min: 5, max: 9 }),
            statesStart: fc.boolean(),
            refusesOtherLeave: fc.boolean(),
            faults: fc.array(
                fc.record({
                    kind: fc.constantFrom(...chosen),
                    at: fc.nat(FAULT_SPAN_MILLISECONDS),
                    milliseconds: fc.integer({ min: 500, max: 6_000 }),
                    subject: fc.nat(99),
                }),
                { minLength: 1, maxLength: 8, size: "max" },
            ),
        })
    );
}

/** Fuzz module of the planner of groups. */
export const plannerFuzz = createFuzzModule<PlannerScenario>("planner", plannerScenarios(faultKinds), playPlanner);
