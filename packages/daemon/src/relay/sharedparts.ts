/** Components of the daemon on a platform that most others depend on. */
import {
    createLoadTracker,
    createStatedLoads,
    type DaemonLocation,
    type DemandMeter,
    type LoadTracker,
    type StatedLoads,
} from "@damaskvale/core";
import { type BoundedOutput, createBoundedOutput } from "../adapters/boundedoutput.js";
import { createBunyanLog } from "../adapters/bunyanlog.js";
import { systemClock } from "../adapters/clock.js";
import { type CallerResources, createCallerResources } from "../callers/callerresources.js";
import { type ColdTargets, createColdTargets } from "../coldstart/coldtargets.js";
import { createEvacuationState, type EvacuationState } from "../evacuation/evacuationstate.js";
import { createSharedFailures, type SharedFailures } from "../outliers/sharedfailures.js";
import { createDaemonList, type DaemonList } from "../peers/daemonlist.js";
import { createHandOverDaemons, type HandOverDaemons } from "../peers/handoverdaemons.js";
import { createRoster, type Roster } from "../peers/roster.js";
import { createSharedSpeeds, type SharedSpeeds } from "../peers/sharedspeeds.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import { createServiceRetryBudgets, type ServiceRetryBudgets } from "./budgets.js";
import { createDemandMeters } from "./demandmeters.js";
import { createDaemonMetrics, type DaemonMetrics } from "./metrics.js";
import type { PlatformPorts, RelaySettings } from "./platformports.js";
import { createRequestQuarantine, type RequestQuarantine } from "./requestquarantine.js";
import { createRelayState } from "./state.js";
import type { RelayState } from "./statetypes.js";
import { createTargetAvailability, type TargetAvailability } from "./targetavailability.js";
import { createTargetChangeLog } from "./targetchangelog.js";
import { createTargetConnections, type TargetConnections } from "./targetconnections.js";
import { probeTarget } from "./targetprobe.js";
import { startTargetReachability, type TargetReachability, targetsToProbe } from "./targetreachability.js";

/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;
/** Time for a target or a daemon to accept a connection. */
export const CONNECT_TIMEOUT_MILLISECONDS = 400;
const TARGET_CONNECTIONS = { connectionsPerTarget: 40, connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS };

/** Components that most others depend on. */
export interface SharedParts extends DaemonParts {
    readonly settings: RelaySettings;
    readonly ports: PlatformPorts;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    readonly state: RelayState;
    readonly evacuations: EvacuationState;
    readonly loadTracker: LoadTracker;
    readonly budgets: ServiceRetryBudgets;
    readonly demandOf: (service: string) => DemandMeter;
    readonly availability: TargetAvailability;
    readonly coldTargets: ColdTargets;
    readonly requestQuarantine: RequestQuarantine;
    readonly reachability: TargetReachability;
    readonly speeds: SharedSpeeds;
    readonly failures: SharedFailures;
    readonly connections: TargetConnections;
    readonly callerResources: CallerResources;
}

/** What is known of the other daemons. */
export interface DaemonParts {
    readonly daemons: DaemonList;
    /** Start of this process in Unix milliseconds. */
    readonly startedAt: number;
    readonly statedLoads: StatedLoads;
    readonly roster: Roster;
    /** Names of the other daemons that run, as far as this one hears of them. */
    readonly otherDaemons: () => readonly string[];
    readonly handOverDaemons: HandOverDaemons;
}

/** Creates them, with the metrics that show them. */
export function createSharedParts(
    settings: RelaySettings,
    ports: PlatformPorts,
    requestsInProgress: () => number,
): { readonly shared: SharedParts; readonly metrics: DaemonMetrics; readonly output: BoundedOutput; } {
    const output = createBoundedOutput(STANDARD_OUTPUT);
    const state = createRelayState(
        createTargetChangeLog(() => metrics.log),
        dataCentre => evacuations.isEvacuated(dataCentre),
        settings.admitsByPriority === true,
    );
    const metrics = createDaemonMetrics(createLog(settings, output), {
        requestsInProgress,
        linesDropped: output.dropped,
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        servingGroups: () => state.countServingGroups(),
        limitedTargets: () => availability.limitedTargets(),
        restingTargets: () => availability.restingTargets(),
        unreadableStatements: () => availability.unreadableStatements(),
        slowTargets: () => speeds.slowTargets().length,
        failingTargets: () => failures.failingTargets(),
        quarantinedParts: () => requestQuarantine.quarantined().length,
        coldTargets: () => coldTargets.count(),
        evacuatedDataCentres: () => evacuations.count(),
        callerBytes: () => callerResources.heldBytes(),
        callerConnections: () => callerResources.connections(),
        storeEra: () => ports.storeEra.current(),
        storeErasIgnored: () => ports.storeEra.ignoredStatements(),
    });
    const callerResources = createCallerResources(settings.memoryMegabytes, metrics.log);
    const daemonParts = createDaemonParts(settings);
    const { daemons, otherDaemons } = daemonParts;
    const evacuations = wireEvacuations(metrics.log, state, daemons);
    const coldTargets = wireColdTargets(settings, metrics.log, { state, evacuations, daemons });
    const availability = createTargetAvailability({
        clock: systemClock,
        log: metrics.log,
        self: { daemon: settings.daemon, dataCentre: settings.dataCentre },
        reachableDaemons: () => locate(otherDaemons(), daemons),
        knownDaemons: daemons.count,
        state,
        coldTargets,
    });
    const requestQuarantine = wireQuarantine(settings, metrics.log, daemonParts, () => reachability.isCutOff());
    const reachability = wireReachability(ports, state, metrics.log);
    const speeds = createSharedSpeeds(systemClock, metrics.log);
    const failures = createSharedFailures(settings.detectsOutliers === true, systemClock, metrics.log);
    const shared: SharedParts = {
        callerResources,
        ...daemonParts,
        settings,
        ports,
        clock: systemClock,
        log: metrics.log,
        random: Math.random,
        state,
        evacuations,
        loadTracker: createLoadTracker(),
        budgets: createServiceRetryBudgets(settings.retryAllowance, daemons.count),
        demandOf: createDemandMeters(),
        availability,
        coldTargets,
        requestQuarantine,
        reachability,
        speeds,
        failures,
        connections: createTargetConnections(TARGET_CONNECTIONS),
    };
    return { shared, metrics, output };
}

function wireEvacuations(log: EventLog, state: RelayState, daemons: DaemonList): EvacuationState {
    const evacuations = createEvacuationState({
        clock: systemClock,
        log,
        isKnownDataCentre: dataCentre =>
            [...state.targets(), ...daemons.all()].some(member => member.dataCentre === dataCentre),
    });
    evacuations.onChange(() => state.applyEvacuations());
    return evacuations;
}

function wireQuarantine(
    { daemon }: RelaySettings,
    log: EventLog,
    { daemons, otherDaemons }: DaemonParts,
    isCutOff: () => boolean,
): RequestQuarantine {
    return createRequestQuarantine({
        clock: systemClock,
        log,
        self: daemon,
        reachableDaemons: otherDaemons,
        knownDaemons: daemons.count,
        isCutOff,
    });
}

function wireColdTargets(
    { daemon, coldStartTolerance }: RelaySettings,
    log: EventLog,
    parts: Pick<SharedParts, "state" | "evacuations" | "daemons">,
): ColdTargets {
    const coldTargets = createColdTargets({
        ...parts,
        clock: systemClock,
        log,
        self: daemon,
        tolerance: coldStartTolerance,
    });
    parts.state.onChange(() => coldTargets.update());
    return coldTargets;
}

function createDaemonParts(settings: RelaySettings): DaemonParts {
    const { daemon, dataCentre } = settings;
    const startedAt = systemClock.wall();
    const daemons = createDaemonList(presenceOf(settings));
    const roster = createRoster();
    return {
        daemons,
        startedAt,
        statedLoads: createStatedLoads({ daemon, startedAt }),
        roster,
        otherDaemons: () => roster.daemons(systemClock.monotonic()).filter(name => name !== daemon),
        handOverDaemons: createHandOverDaemons({
            dataCentre,
            others: daemons.others,
            takesRequests: name => roster.takesRequests(name, systemClock.monotonic()),
            random: Math.random,
        }),
    };
}

/** Returns how this daemon announces itself to the others. */
export function presenceOf({ daemon, ip, dataCentre, linkMegabits }: RelaySettings): DaemonPresence {
    return { daemon, ip, dataCentre, linkMegabits };
}

/** Adds the data centres of daemons, as far as they are known. */
export function locate(names: readonly string[], daemons: DaemonList): DaemonLocation[] {
    const dataCentres = new Map(daemons.others().map(({ daemon, dataCentre }) => [daemon, dataCentre]));
    return names.map(daemon => ({ daemon, dataCentre: dataCentres.get(daemon) }));
}

function createLog({ daemon, dataCentre }: RelaySettings, { stream }: BoundedOutput): EventLog {
    return createBunyanLog({ daemon, dataCentre, level: "info", secrets: [], stream });
}

function wireReachability(ports: PlatformPorts, state: RelayState, log: EventLog): TargetReachability {
    const engines = ports.engines(log);
    return startTargetReachability({
        clock: systemClock,
        log,
        targets: () => targetsToProbe(state),
        probe: target => probeTarget(target, engines, CONNECT_TIMEOUT_MILLISECONDS),
        random: Math.random,
    });
}
