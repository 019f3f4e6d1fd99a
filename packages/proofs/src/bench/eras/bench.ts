/**
 * Benchmark of a store that comes back from an older copy: how many calls it gets then, and how long configuration,
 * registry and planning take. Time and store are simulated; followers, lease, presence and state are the production code.
 */
import { registryReadDelayMilliseconds } from "@damaskvale/daemon";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { SimulatedDaemon } from "../../fuzz/eras/daemon.js";
import { PARTITIONS, StoreReplica } from "../../fuzz/eras/store.js";
import { configurationOf, SERVICE, targetOf } from "../../fuzz/eras/values.js";
import { type SimulatedTime, withFakeTime } from "../../fuzz/world/time.js";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";

const DAEMONS: readonly number[] = [8, 32, 76, 152];
/** Targets that write all the time. */
const TARGETS = 60;
const LOST_TARGET = TARGETS;
const NEW_TARGET = TARGETS + 1;
const DRAIN_NOTICE_MILLISECONDS = 2_000;
const CONFIGURATION_WAIT_MILLISECONDS = 8_000;
const CONFIGURATION_PAUSE_MILLISECONDS = 200;
const SETTLE_MILLISECONDS = 4_000;
const BASE_MILLISECONDS = 4_000;
/** Age of the copy. */
const COPY_MILLISECONDS = 2_000;
/** Operators and targets have written again this long after the store came back. */
const REWRITE_MILLISECONDS = 2_000;
const OBSERVED_MILLISECONDS = 7_000;
const STEP_MILLISECONDS = 10;
const SECOND_MILLISECONDS = 1_000;
/** Time between two entries that targets write. */
const HEARTBEAT_MILLISECONDS = 50;
const CALL_MILLISECONDS = 5;
const RANDOM_RANGE = 1_000_000;

interface Observation {
    /** Times of all calls. */
    readonly calls: readonly number[];
    readonly restoredAt: number;
    readonly configuredAt: number | undefined;
    readonly registeredAt: number | undefined;
    readonly plannedAt: number | undefined;
}

class Fleet {
    readonly calls: number[] = [];
    private readonly daemons: readonly SimulatedDaemon[];
    private replica = new StoreReplica(1);

    constructor(count: number, seed: number, private readonly time: SimulatedTime) {
        const generator = xoroshiro128plus(seed);
        this.daemons = Array.from({ length: count }, (...[, index]) =>
            new SimulatedDaemon({
                member: `daemon-${index}`,
                now: time.now,
                random: () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE,
                replica: () => this.replica,
                pace: {
                    configurationWait: CONFIGURATION_WAIT_MILLISECONDS,
                    configurationPause: CONFIGURATION_PAUSE_MILLISECONDS,
                    targetPause: registryReadDelayMilliseconds(count, DRAIN_NOTICE_MILLISECONDS),
                },
                onCall: () => void this.calls.push(time.now()),
                trace: () => undefined,
            }));
        this.daemons.forEach(daemon =>
            daemon.setCondition({
                isCut: false,
                isFrozen: false,
                delayMilliseconds: CALL_MILLISECONDS,
                header: "stated",
            })
        );
        this.writeConfiguration(1);
    }

    writeConfiguration(version: number): void {
        this.replica.configurations.append("config", configurationOf(version), this.time.now());
    }

    writeTarget(index: number): void {
        const id = `target-${index}`;
        this.replica.targets.append(id, targetOf(id, false), this.time.now());
    }

    restore(): void {
        const previous = this.replica;
        this.replica = previous.restoreAt(this.time.now() - COPY_MILLISECONDS);
        previous.closeConnections();
    }

    stop(): void {
        this.daemons.forEach(daemon => daemon.kill());
    }

    isConfigured(version: number): boolean {
        return this.daemons.every(({ state }) => state.lookup()?.configuration.version === version);
    }

    /** Returns whether each daemon has the target that the copy lacks and the one that is new. */
    isRegistered(): boolean {
        return this.daemons.every(({ state }) => state.servingTargets(SERVICE).length === NEW_TARGET + 1);
    }

    /** Returns whether each partition has an owner with a lease of the newest era. */
    isPlanned(): boolean {
        return Array.from({ length: PARTITIONS }, (...[, partition]) => partition).every(partition =>
            this.daemons.some(daemon =>
                daemon.era.current() === this.replica.era && daemon.assignmentOf("domain", partition) !== undefined
            )
        );
    }
}

async function observe(count: number, { seed }: BenchOptions): Promise<Observation> {
    return withFakeTime(async time => {
        const fleet = new Fleet(count, seed, time);
        Array.from({ length: TARGETS }, (...[, index]) => fleet.writeTarget(index));
        const play = async (milliseconds: number, each: (elapsed: number) => void): Promise<void> => {
            for (let elapsed = 0; elapsed < milliseconds; elapsed += STEP_MILLISECONDS) {
                await time.advance(STEP_MILLISECONDS);
                each(elapsed + STEP_MILLISECONDS);
            }
        };
        const heartbeat = (elapsed: number): void => {
            if (elapsed % HEARTBEAT_MILLISECONDS === 0) {
                fleet.writeTarget(elapsed / HEARTBEAT_MILLISECONDS % TARGETS);
            }
        };
        await play(SETTLE_MILLISECONDS + BASE_MILLISECONDS, heartbeat);
        await play(COPY_MILLISECONDS - SECOND_MILLISECONDS, heartbeat);
        // Both are lost, but all daemons have read them.
        fleet.writeConfiguration(2);
        fleet.writeTarget(LOST_TARGET);
        await play(SECOND_MILLISECONDS, heartbeat);
        fleet.restore();
        const restoredAt = time.now();
        fleet.writeTarget(NEW_TARGET);
        const seen: Record<"configured" | "registered" | "planned", number | undefined> = {
            configured: undefined,
            registered: undefined,
            planned: undefined,
        };
        await play(OBSERVED_MILLISECONDS, elapsed => {
            heartbeat(elapsed);
            if (elapsed === REWRITE_MILLISECONDS) {
                Array.from({ length: LOST_TARGET + 1 }, (...[, index]) => fleet.writeTarget(index));
            }
            if (elapsed === REWRITE_MILLISECONDS) {
                fleet.writeConfiguration(3);
            }
            seen.configured ??= fleet.isConfigured(3) ? time.now() : undefined;
            seen.planned ??= fleet.isPlanned() ? time.now() : undefined;
            seen.registered = fleet.isRegistered() ? seen.registered ?? time.now() : undefined;
        });
        fleet.stop();
        return {
            calls: fleet.calls,
            restoredAt,
            configuredAt: seen.configured,
            registeredAt: seen.registered,
            plannedAt: seen.planned,
        };
    });
}

function figuresOf(count: number, observation: Observation): BenchFigure[] {
    const { calls, restoredAt, configuredAt, registeredAt, plannedAt } = observation;
    const between = (from: number, to: number): number =>
        calls.filter(at => at > restoredAt + from && at <= restoredAt + to).length;
    const since = (at: number | undefined, from = 0): number => (at ?? Number.NaN) - restoredAt - from;
    const figure = (measure: string, unit: string, value: number): BenchFigure => ({
        scenario: "store back from a copy 2 s old",
        subject: `${count} daemons`,
        baseline: false,
        measure,
        unit,
        value,
        better: "lower",
    });
    const before = between(-BASE_MILLISECONDS, 0) / (BASE_MILLISECONDS / SECOND_MILLISECONDS);
    return [
        figure("before", "calls/s", before),
        figure("first second", "calls", between(0, SECOND_MILLISECONDS)),
        figure("most in 0.1 s", "calls", mostIn(calls.filter(at => at > restoredAt), SECOND_MILLISECONDS / 10)),
        figure("second second", "calls", between(SECOND_MILLISECONDS, 2 * SECOND_MILLISECONDS)),
        figure("configuration in force after its write", "ms", since(configuredAt, REWRITE_MILLISECONDS)),
        figure("registry right after the change", "ms", since(registeredAt)),
        figure("planning after the change", "ms", since(plannedAt)),
    ];
}

function mostIn(times: readonly number[], milliseconds: number): number {
    return Math.max(0, ...times.map(from => times.filter(at => at >= from && at < from + milliseconds).length));
}

/** Benchmark of the store's era. */
export const erasBench: Bench = {
    name: "eras",
    run: async options => {
        const counts = options.quick ? DAEMONS.slice(0, 2) : DAEMONS;
        const figures: BenchFigure[] = [];
        for (const count of counts) {
            figures.push(...figuresOf(count, await observe(count, options)));
        }
        return { name: "eras", ...options, figures };
    },
};
