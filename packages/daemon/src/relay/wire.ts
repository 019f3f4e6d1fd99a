/** Wires the relay, the followers and the engine planner into a daemon behind a platform's ports. */
import {
    createDemandMeter,
    createLoadTracker,
    createPeerLoads,
    createSlidingMaximum,
    createSuspicions,
    type DemandMeter,
    type LoadTracker,
    type PeerLoads,
    type RelayConfiguration,
    type TargetLoad,
} from "@damaskvale/core";
import { createBoundedOutput } from "../adapters/boundedoutput.js";
import { createBunyanLog } from "../adapters/bunyanlog.js";
import { systemClock } from "../adapters/clock.js";
import { type EnginePlanner, startEnginePlanner } from "../engines/engineplanner.js";
import { createDaemonList, type DaemonList } from "../peers/daemonlist.js";
import { startLoadExchange } from "../peers/loadexchange.js";
import { startPresence } from "../peers/presence.js";
import type { Clock } from "../ports/clock.js";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PresenceTopic } from "../ports/presence.js";
import type { ConfigurationTopic, PartitionGroup, TargetTopic, TopicChange } from "../ports/registry.js";
import type { RelayProtocol } from "../ports/relayprotocol.js";
import { followTopic, type TopicFollower } from "../tasks/followtopic.js";
import { type PartitionLease, startPartitionLease } from "../tasks/partitionlease.js";
import { createServiceBudgets, type RetryAllowance, type ServiceBudgets } from "./budgets.js";
import { startListeners } from "./lifecycle.js";
import { measureEvents, type Measurements } from "./measure.js";
import { targetsPauseMilliseconds } from "./pace.js";
import { createRelay, type Relay } from "./relay.js";
import { type StallWatch, startStallWatch } from "./stallwatch.js";
import { createRelayState, type RelayState } from "./state.js";
import { createTargetConnections } from "./targetconnections.js";

/** Settings of the daemon behind a platform. */
export interface RelaySettings {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly ip: string;
    /** First and last port that are free for messages between daemons. */
    readonly internalPorts: readonly number[];
    readonly callerListen: string;
    readonly readinessListen: string;
    readonly shutdownMilliseconds: number;
    /** How soon after the notice of its leaving a target must get no requests. */
    readonly drainNoticeMilliseconds: number;
    /** How soon after its publication a configuration must be in force. */
    readonly configurationMilliseconds: number;
    /** `IP:PORT` at which metrics are served, if they are. */
    readonly metricsListen?: string;
    readonly retryAllowance: RetryAllowance;
    /** Whether engines refuse orders with a lower fencing token than one they have seen. */
    readonly enginesEnforceFencing: boolean;
}

/** What a platform provides. */
export interface PlatformPorts {
    readonly protocol: RelayProtocol;
    readonly configuration: (log: EventLog) => ConfigurationTopic;
    readonly targets: (log: EventLog) => TargetTopic;
    readonly partitions: PartitionGroup;
    readonly engines: (log: EventLog) => EngineControl;
    readonly presence: (log: EventLog) => PresenceTopic;
}

/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;
const LEASE_MILLISECONDS = 2_500;
/** How long this daemon plans on while the store does not answer, where engines refuse the orders of old owners. */
const LEASE_EXTENSION_MILLISECONDS = 20_000;
/** Hosts write to the registry all the time, so that a read seldom waits, and a silent connection is noticed soon. */
const TARGETS_WAIT_MILLISECONDS = 900;
/** Versions that come in quick succession are read together. */
const CONFIGURATION_PAUSE_MILLISECONDS = 200;
/**
 * While other daemons are heard, they tell of a newer configuration if the connection of the waiting read is silent. If
 * the store is silent for all of them, their reads of the registry end, which ends this one.
 */
const CONFIGURATION_WAIT_MILLISECONDS = 8_000;
/** Others may tell of a configuration while it is still on its way over a slower link. */
const TOLD_CONFIGURATION_GRACE_MILLISECONDS = 400;
/**
 * Otherwise a silent connection is noticed only after the wait, which is therefore shorter by this than the time in which
 * a configuration must be in force: the overrun of the read, the wait before the next one, and its answer.
 */
const CONFIGURATION_RESERVE_MILLISECONDS = 1_100;
/** A group that was lost is usually formed again within this time. */
const GROUP_MEMORY_MILLISECONDS = 10_000;
const DEFAULT_PEER_PORT = 7_340;
const CONNECTIONS_PER_TARGET = 40;
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Progress within this time outweighs the suspicion of another daemon. */
const RECENT_PROGRESS_MILLISECONDS = 300;

/** Returns whether a target sent bytes of a stream lately. */
function madeProgress(load: TargetLoad | undefined, now: number): boolean {
    return load !== undefined && load.awaitingFirstEvent < load.inProgress
        && now - load.lastProgressAt < RECENT_PROGRESS_MILLISECONDS;
}

/** Parts that most others need. */
interface Base {
    readonly settings: RelaySettings;
    readonly ports: PlatformPorts;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Random number from 0 to below 1. */
    readonly random: () => number;
    readonly state: RelayState;
    readonly board: LoadTracker;
    readonly peerLoads: PeerLoads;
    readonly budgets: ServiceBudgets;
    readonly demandOf: (service: string) => DemandMeter;
    readonly daemons: DaemonList;
}

/** Starts the daemon; resolves when it listens. It ends the process after SIGTERM. */
export async function startPlatformDaemon(settings: RelaySettings, ports: PlatformPorts): Promise<void> {
    const { base, measurements } = createBase(settings, ports, () => relay.inProgress());
    const { log } = base;
    const relay = wireRelay(base, head => watch.headUnusable(head));
    const listening = startListeners({ ...settings, log, relay, state: base.state });
    if (settings.metricsListen !== undefined) {
        await measurements.serve(settings.metricsListen);
    }
    log.emit("daemonStarted", { daemon: settings.daemon });
    const configuration = followStore(base);
    const { planner, lease, watch } = wirePlanning(base, relay, configuration);
    const listeners = await listening;
    process.once("SIGTERM", () => {
        planner.stop();
        Promise.all([listeners.shutDown(), lease.stop()])
            .catch((error: unknown) => log.emit("taskFailed", { task: "shutdown", error }))
            .finally(() => process.exit(0));
    });
    process.on("SIGHUP", () => log.emit("settingsUnchanged"));
}

function createBase(
    settings: RelaySettings,
    ports: PlatformPorts,
    requestsInProgress: () => number,
): { readonly base: Base; readonly measurements: Measurements; } {
    const output = createBoundedOutput(STANDARD_OUTPUT);
    const lines = createBunyanLog({
        daemon: settings.daemon,
        dataCentre: settings.dataCentre,
        level: "info",
        secrets: [],
        stream: output.stream,
    });
    const state = createRelayState((kind, { id, service, address, startedAt, domain }) =>
        measurements.log.emit("targetsChanged", { kind, target: id, service, address, startedAt, domain })
    );
    const measurements = measureEvents(lines, {
        requestsInProgress,
        linesDropped: output.dropped,
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        servingGroups: () => state.countServingGroups(),
    });
    const daemons = createDaemonList(settings.daemon);
    const base: Base = {
        settings,
        ports,
        clock: systemClock,
        log: measurements.log,
        random: Math.random,
        state,
        board: createLoadTracker(),
        peerLoads: createPeerLoads(),
        budgets: createServiceBudgets(settings.retryAllowance, daemons.count),
        demandOf: createDemandMeters(),
        daemons,
    };
    return { base, measurements };
}

function createDemandMeters(): (service: string) => DemandMeter {
    const meters = new Map<string, DemandMeter>();
    return service => {
        const meter = meters.get(service) ?? createDemandMeter();
        meters.set(service, meter);
        return meter;
    };
}

function wireRelay(base: Base, headUnusable: (head: string) => void): Relay {
    const { settings, ports, clock, log, random, state, board, peerLoads, budgets, demandOf } = base;
    return createRelay({
        clock,
        log,
        protocol: ports.protocol,
        state,
        connections: createTargetConnections({
            connectionsPerTarget: CONNECTIONS_PER_TARGET,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
        }),
        board,
        headUnusable,
        dataCentre: settings.dataCentre,
        loadOfOthers: target => peerLoads.totalOf(target, clock.monotonic()),
        groupsLately: createSlidingMaximum(GROUP_MEMORY_MILLISECONDS),
        demandOf,
        budgetOf: budgets.of,
        random,
    });
}

/** Wait between two reads of the registry, in milliseconds. */
function registryPause({ daemons, settings }: Base): number {
    return targetsPauseMilliseconds(daemons.count(), settings.drainNoticeMilliseconds);
}

/** Follows the configuration and the targets; returns the follower of the configuration. */
function followStore(base: Base): TopicFollower {
    const { settings, ports, clock, log, random, state, peerLoads } = base;
    const shortWait = Math.max(0, settings.configurationMilliseconds - CONFIGURATION_RESERVE_MILLISECONDS);
    const hearsOthers = (): boolean => peerLoads.peers(clock.monotonic()).length > 0;
    const applyConfigurations = (changes: readonly TopicChange<RelayConfiguration>[]): void =>
        changes.forEach(({ value }) => {
            if (value !== undefined && state.applyConfiguration(value)) {
                log.emit("configurationApplied", { configurationVersion: value.version });
            }
        });
    const configuration = followTopic({
        topic: ports.configuration(log),
        log,
        random,
        waitMilliseconds: () => hearsOthers() ? CONFIGURATION_WAIT_MILLISECONDS : shortWait,
        pauseMilliseconds: () => CONFIGURATION_PAUSE_MILLISECONDS,
        replace: applyConfigurations,
        apply: applyConfigurations,
    });
    followTopic({
        topic: ports.targets(log),
        log,
        random,
        waitMilliseconds: () => TARGETS_WAIT_MILLISECONDS,
        pauseMilliseconds: () => registryPause(base),
        // A waiting read of the configuration on the same network is then probably silent, too.
        onLost: () => configuration.refresh(0),
        replace: changes => state.replaceTargets(changes.flatMap(({ value }) => value ?? [])),
        apply: changes => state.applyTargets(changes),
    });
    return configuration;
}

function wirePlanning(
    base: Base,
    relay: Relay,
    configuration: TopicFollower,
): { readonly planner: EnginePlanner; readonly lease: PartitionLease; readonly watch: StallWatch; } {
    const { settings, ports, clock, log, random, state, board, peerLoads, budgets, daemons } = base;
    const lease = startPartitionLease({
        group: ports.partitions,
        clock,
        log,
        leaseMilliseconds: LEASE_MILLISECONDS,
        extensionMilliseconds: settings.enginesEnforceFencing ? LEASE_EXTENSION_MILLISECONDS : 0,
    });
    const suspicions = createSuspicions();
    const groupOf = (host: string): string | undefined => state.targetById(host)?.membership?.group;
    const self = { daemon: settings.daemon, ip: settings.ip, dataCentre: settings.dataCentre };
    const exchange = startLoadExchange({
        clock,
        log,
        self,
        daemons,
        port: settings.internalPorts[0] ?? DEFAULT_PEER_PORT,
        board,
        peerLoads,
        onMembership: told => state.applyMembership(told),
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        onNewerConfiguration: () => configuration.refresh(TOLD_CONFIGURATION_GRACE_MILLISECONDS),
        onSuspicion: ({ head, group }, daemon) => {
            if (groupOf(head) !== group) {
                return;
            }
            planner.suspect(head);
            const agreed = suspicions.record(group, daemon, clock.monotonic());
            if (agreed && !madeProgress(board.get(head), clock.monotonic())) {
                board.suspect(head, clock.monotonic(), group);
            }
        },
    });
    const planner = startEnginePlanner({
        clock,
        log,
        state,
        lease,
        partitionCount: ports.partitions.partitionCount,
        engines: ports.engines(log),
        trafficSeen: budgets.used,
        demandOf: base.demandOf,
        registryDelayMilliseconds: () => registryPause(base),
        onMembership: told => {
            state.applyMembership(told);
            exchange.tellMembership(told);
        },
    });
    startPresence({ topic: ports.presence(log), self, log, random, setPeers: daemons.replace });
    const watch = startStallWatch({
        clock,
        log,
        board,
        groupOf,
        moveStreams: relay.moveStreams,
        report: head => {
            planner.suspect(head);
            const group = groupOf(head);
            if (group !== undefined) {
                exchange.suspect({ head, group });
            }
        },
    });
    return { planner, lease, watch };
}
