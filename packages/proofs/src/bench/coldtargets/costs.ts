/** Real time that a daemon takes for a check of one target, and for its share of one when it turns cold. */
import type { Target } from "@damaskvale/core";
import type { BenchFigure, BenchOptions } from "../types.js";
import { createProductionTargets, createTarget } from "./coldfleet.js";

const TARGETS = 170;
const COLD_TARGETS = 57;
const COLD_MILLISECONDS = 60_000;
const ROUNDS = 5;

/** Returns the shortest mean time of a call over some rounds, in microseconds: other processes only make rounds longer. */
function microsecondsOf(calls: number, call: (index: number) => void): number {
    const rounds = Array.from({ length: ROUNDS }, () => {
        const from = performance.now();
        for (let index = 0; index < calls; index += 1) {
            call(index);
        }
        return (performance.now() - from) * 1_000 / calls;
    });
    return Math.min(...rounds);
}

function targetsWith(cold: number): Target[] {
    return Array.from(
        { length: TARGETS },
        (...[, index]) => createTarget(`t${index}`, index < cold ? COLD_MILLISECONDS : 0),
    );
}

/** Measures the costs in fleets of these sizes. */
export function measureCheckCosts(fleets: readonly number[], { quick }: BenchOptions): BenchFigure[] {
    const calls = quick ? 100_000 : 1_000_000;
    const figure = (scenario: string, subject: string, value: number, baseline = false): BenchFigure => ({
        scenario,
        subject,
        baseline,
        measure: "time",
        unit: "microseconds",
        value,
        better: "lower",
    });
    const createDaemon = (fleet: number, targets: readonly Target[]) => {
        const names = Array.from({ length: fleet }, (...[, index]) => `d${index}`);
        const context = { self: "d0", startedAt: -10_000, now: () => performance.now(), known: () => names };
        return createProductionTargets(context, targets);
    };
    const checkOf = (cold: number, checked: number): number => {
        const targets = targetsWith(cold);
        const coldTargets = createDaemon(76, targets);
        const target = targets[checked]!;
        return microsecondsOf(calls, () => void coldTargets.waitMilliseconds(target));
    };
    const shareOf = (fleet: number): number => {
        const targets = targetsWith(TARGETS);
        const rounds = Array.from({ length: ROUNDS }, () => {
            const coldTargets = createDaemon(fleet, targets);
            const from = performance.now();
            targets.forEach(target => coldTargets.waitMilliseconds(target));
            return (performance.now() - from) * 1_000 / TARGETS;
        });
        return Math.min(...rounds);
    };
    const updateOf = (): number => {
        const coldTargets = createDaemon(76, targetsWith(0));
        return microsecondsOf(calls / 1_000, () => coldTargets.update());
    };
    return [
        figure("check of a target", "warm, none cold", checkOf(0, TARGETS - 1)),
        figure("check of a target", `warm, ${COLD_TARGETS} others cold`, checkOf(COLD_TARGETS, TARGETS - 1)),
        figure("check of a target", "cold", checkOf(COLD_TARGETS, 0)),
        figure("change of the state", `${TARGETS} warm targets`, updateOf()),
        ...fleets.map(fleet => figure("share of a target that turns cold", `${fleet} daemons`, shareOf(fleet))),
    ];
}
