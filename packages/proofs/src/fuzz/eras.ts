/**
 * Fuzz module of ownership, configuration and registry while the store comes back from older copies and daemons are cut
 * off, frozen, restarted, answered late or answered by a replica of an earlier era.
 */
import fc from "fast-check";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { EraHeader } from "./eras/daemon.js";
import { PLANNED_AGAIN_MILLISECONDS, World } from "./eras/world.js";
import { createFuzzModule, type Trace } from "./types.js";
import { withFakeTime } from "./world/time.js";

interface ErasPhase {
    readonly milliseconds: number;
    /** Age of the copy from which the store comes back at the start of the phase, if it does. */
    readonly copyAgeMilliseconds?: number;
    /** Daemons that the replica of the earlier era still answers in this phase. */
    readonly servedByEarlier: readonly number[];
    readonly cut: readonly number[];
    readonly frozen: readonly number[];
    readonly restarted: readonly number[];
    /** Time that answers take, by daemon. */
    readonly delays: readonly number[];
    /** How answers state the era to daemons that know the newest one. */
    readonly header: EraHeader;
    readonly writes: readonly ("configuration" | "target" | "drain")[];
}

interface ErasScenario {
    readonly seed: number;
    readonly daemons: number;
    readonly domains: number;
    readonly phases: readonly ErasPhase[];
}

const STEP_MILLISECONDS = 50;
const START_MILLISECONDS = 1_500;
/** Operators and targets have written again this long after the store came back. */
const REWRITE_MILLISECONDS = 1_800;
const CALM_MILLISECONDS = REWRITE_MILLISECONDS + PLANNED_AGAIN_MILLISECONDS + 1_000;
const USUAL_DELAY_MILLISECONDS = 5;

async function runEras({ seed, daemons, domains, phases }: ErasScenario, trace: Trace): Promise<void> {
    await withFakeTime(async time => {
        const world = new World({ daemons, domains, now: time.now, generator: xoroshiro128plus(seed), trace });
        const play = async (milliseconds: number, note: () => void = () => undefined): Promise<void> => {
            const end = time.now() + milliseconds;
            while (time.now() < end) {
                await time.advance(STEP_MILLISECONDS);
                note();
                world.planRound();
                world.check();
            }
        };
        try {
            await play(START_MILLISECONDS);
            for (const phase of phases) {
                const note = startPhase(world, phase);
                await play(phase.milliseconds, note);
            }
            world.endSplit();
            world.setConditions(() => undefined);
            await play(CALM_MILLISECONDS);
        }
        finally {
            world.stop();
        }
    });
}

/** Starts a phase; the returned function marks what is disturbed throughout the phase. */
function startPhase(world: World, phase: ErasPhase): () => void {
    world.endSplit();
    phase.restarted.forEach(daemon => world.restartDaemon(daemon));
    const handlers = {
        configuration: () => world.configure(),
        target: () => world.registerTarget(),
        drain: () => world.drainTarget(phase.milliseconds),
    };
    phase.writes.forEach(write => handlers[write]());
    if (phase.copyAgeMilliseconds !== undefined) {
        world.restore(phase.copyAgeMilliseconds, REWRITE_MILLISECONDS);
    }
    world.serveByEarlier(phase.servedByEarlier);
    const setConditions = (): void =>
        world.setConditions(daemon => {
            const condition = {
                isCut: phase.cut.includes(daemon),
                isFrozen: phase.frozen.includes(daemon),
                delayMilliseconds: phase.delays[daemon % phase.delays.length] ?? USUAL_DELAY_MILLISECONDS,
                header: phase.header,
            };
            const isDisturbed = condition.isCut || condition.isFrozen || condition.header !== "stated"
                || condition.delayMilliseconds > USUAL_DELAY_MILLISECONDS
                || phase.servedByEarlier.includes(daemon);
            return isDisturbed ? condition : undefined;
        });
    setConditions();
    return setConditions;
}

const daemonIndexes = fc.oneof(fc.constant([]), fc.uniqueArray(fc.nat(3), { minLength: 1, maxLength: 3 }));

/** Fuzz module of the eras of the store. */
export const erasFuzz = createFuzzModule<ErasScenario>(
    "eras",
    fc.record({
        seed: fc.nat(),
        daemons: fc.integer({ min: 1, max: 4 }),
        domains: fc.integer({ min: 1, max: 6 }),
        phases: fc.array(
            fc.record({
                milliseconds: fc.constantFrom(100, 400, 900, 2_000, 4_000),
                copyAgeMilliseconds: fc.option(fc.constantFrom(0, 300, 1_500, 4_000), { nil: undefined, freq: 2 }),
                servedByEarlier: daemonIndexes,
                cut: daemonIndexes,
                frozen: daemonIndexes,
                restarted: daemonIndexes,
                delays: fc.oneof(
                    fc.constant([USUAL_DELAY_MILLISECONDS]),
                    fc.array(fc.constantFrom(5, 60, 300, 800), { minLength: 1, maxLength: 4 }),
                ),
                header: fc.constantFrom<EraHeader>("stated", "stated", "missing", "unreadable"),
                writes: fc.array(fc.constantFrom("configuration" as const, "target" as const, "drain" as const), {
                    maxLength: 3,
                }),
            }),
            { minLength: 1, maxLength: 6, size: "max" },
        ),
    }),
    runEras,
);
