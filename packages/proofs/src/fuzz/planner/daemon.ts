/** Daemon of the simulated fleet: the planner and the state of the production code, with simulated ports. */
import { createDemandMeter, type EngineProfile } from "@damaskvale/core";
import {
    createMembershipNotice,
    createRelayState,
    type EngineControl,
    type EnginePlanner,
    type PartitionAssignment,
    type RelayState,
    type ReportedMembership,
    startEnginePlanner,
} from "@damaskvale/daemon";
import { type EntryLog, EntryReader, SERVICE } from "./registry.js";

/** Surroundings of a daemon. */
export interface PlannerDaemonParts {
    readonly engine: EngineProfile;
    readonly entries: EntryLog;
    readonly engines: EngineControl;
    readonly now: () => number;
    readonly broadcast: (reported: ReportedMembership) => void;
    readonly trace: (line: string) => void;
}

/** Interval between two reads of the registry. */
export const READ_INTERVAL_MILLISECONDS = 300;

/** Daemon that plans while it owns the domain. */
export class PlannerDaemon {
    readonly state: RelayState = createRelayState();
    readonly reader: EntryReader;
    assignment: PartitionAssignment | undefined;
    private readonly planner: EnginePlanner;
    private readonly demand = createDemandMeter();

    constructor(private readonly parts: PlannerDaemonParts) {
        const { engine, entries, engines, now, broadcast, trace } = parts;
        this.state.applyConfiguration({
            version: 1,
            routes: [],
            services: [{ name: SERVICE, healthPath: "/", maximumConnections: 9, engine }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
        this.reader = new EntryReader(entries, this.state);
        this.reader.readNewest(0);
        this.planner = startEnginePlanner({
            clock: { monotonic: now, wall: now },
            log: { emit: (name, fields) => trace(`${name} ${JSON.stringify(fields)}`) },
            state: this.state,
            lease: {
                current: () => this.assignment,
                confirmedSince: () => this.assignment !== undefined,
                invalidate: () => undefined,
                stop: () => Promise.resolve(),
            },
            partitionCount: 1,
            engines,
            trafficSeen: () => true,
            demandOf: () => this.demand,
            isEvacuated: () => false,
            registryDelayMilliseconds: () => READ_INTERVAL_MILLISECONDS,
            onMembership: createMembershipNotice(this.state, broadcast),
        });
    }

    /** Reports a head whose requests stand still, as the detector of stalls does. */
    suspect(head: string): void {
        this.planner.suspect(head);
    }

    stop(): void {
        this.planner.stop();
    }

    /** Records requests of callers for each model, so that the demand stays as configured. */
    recordRequests(): void {
        const { engine, now } = this.parts;
        engine.models.forEach(({ name, share }) => this.demand.record(name, share * 1_000, now()));
    }
}
