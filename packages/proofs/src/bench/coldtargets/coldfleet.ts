/** Simulation of daemons that send to one cold target. They exchange no messages; each knows a list of daemons. */
import type { ColdStart, ColdStartTolerance, RelayConfiguration, Target } from "@damaskvale/core";
import { type ColdTargets, createColdTargets } from "@damaskvale/daemon";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Decides for one daemon when it may send to the target. */
export interface ColdGate {
    mayTake(now: number): boolean;
    taken(now: number): void;
}

/** What a gate knows. */
export interface ColdGateContext {
    readonly self: string;
    /** When the daemon started, in simulated milliseconds. */
    readonly startedAt: number;
    readonly now: () => number;
    /** Names of the daemons that this one knows now. */
    readonly known: () => readonly string[];
}

/** A daemon of the simulation. Times are simulated milliseconds. */
export interface SimulatedDaemon {
    readonly name: string;
    readonly startedAt: number;
    readonly stoppedAt: number;
    /** Whether the daemon runs; a paused one sends nothing. */
    readonly runsAt: (now: number) => boolean;
    readonly knownAt: (now: number) => readonly string[];
}

/** One run. */
export interface ColdRun {
    readonly daemons: readonly SimulatedDaemon[];
    readonly milliseconds: number;
    /** Requests per second that callers want to send to the target through each daemon. */
    readonly offeredPerDaemon: number;
}

export const COLD_START: ColdStart = { milliseconds: 3_600_000, requestsPerSecond: 17 };
export const TOLERANCE: ColdStartTolerance = { factor: 1.5, requests: 5 };
const TICK_MILLISECONDS = 5;
/** Requests take up to this time to the target, so that those of a longer time can arrive within a second. */
const MAXIMUM_DELAY_MILLISECONDS = 40;
const SECOND_MILLISECONDS = 1_000;
const SERVICE = "service";

/** Returns a target of the simulated service. */
export function createTarget(id: string, coldMilliseconds?: number): Target {
    return {
        id,
        service: SERVICE,
        address: "10.0.0.1:80",
        dataCentre: "z0",
        draining: false,
        registered: true,
        slots: 18,
        stagedModels: [],
        busy: false,
        entryNumber: 0,
        coldMilliseconds,
    };
}

/** Creates the production code with these targets, as a daemon that was told of them when it started. */
export function createProductionTargets(
    { self, startedAt, now, known }: ColdGateContext,
    targets: readonly Target[],
): ColdTargets {
    const configuration = {
        services: [{ name: SERVICE, healthPath: "/", maximumConnections: 9, coldStart: COLD_START }],
    } as unknown as RelayConfiguration;
    const lists = new Map<readonly string[], readonly { daemon: string; ip: string; dataCentre: string; }[]>();
    const listOf = (names: readonly string[]) => {
        const list = lists.get(names) ?? names.map(daemon => ({ daemon, ip: "10.0.0.2", dataCentre: "z0" }));
        lists.set(names, list);
        return list;
    };
    const coldTargets = createColdTargets({
        clock: { monotonic: now, wall: now },
        log: { emit: () => undefined },
        self,
        tolerance: TOLERANCE,
        daemons: { all: () => listOf(known()), readAt: () => startedAt },
        state: {
            targets: () => targets,
            targetById: id => targets.find(target => target.id === id),
            lookup: () => ({ configuration }) as never,
        },
        evacuations: { endedAt: () => undefined },
    });
    coldTargets.update();
    return coldTargets;
}

/** Runs the fleet; returns when requests reached the target. */
export function simulateColdFleet(
    { daemons, milliseconds, offeredPerDaemon }: ColdRun,
    createGate: (context: ColdGateContext) => ColdGate,
    random: RandomGenerator,
): number[] {
    let now = 0;
    const gates = new Map<SimulatedDaemon, ColdGate>();
    const arrivals: number[] = [];
    const offer = (daemon: SimulatedDaemon): void => {
        const { name, startedAt, knownAt } = daemon;
        const gate = gates.get(daemon)
            ?? createGate({ self: name, startedAt, now: () => now, known: () => knownAt(now) });
        gates.set(daemon, gate);
        if (gate.mayTake(now)) {
            gate.taken(now);
            arrivals.push(now + uniformFloat64(random) * MAXIMUM_DELAY_MILLISECONDS);
        }
    };
    const chance = offeredPerDaemon * TICK_MILLISECONDS / SECOND_MILLISECONDS;
    for (; now < milliseconds; now += TICK_MILLISECONDS) {
        daemons.filter(({ startedAt, stoppedAt, runsAt }) => startedAt <= now && now < stoppedAt && runsAt(now))
            .filter(() => uniformFloat64(random) < chance)
            .forEach(offer);
    }
    return arrivals.sort((left, right) => left - right);
}

/** Returns the largest number of requests in any second. */
export function mostWithinSecond(times: readonly number[]): number {
    let first = 0;
    return times.reduce((most, end, index) => {
        while ((times[first] ?? end) < end - SECOND_MILLISECONDS) {
            first += 1;
        }
        return Math.max(most, index - first + 1);
    }, 0);
}
