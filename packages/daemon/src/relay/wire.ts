/** Composition root of the daemon on a platform: connects the relay, the topic followers and the engine planner. */
import {
    createLoadTracker,
    createPeerLoads,
    createSlidingMaximum,
    createSuspicions,
    type DaemonLocation,
    type DemandMeter,
    eraOf,
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
import { type LoadExchange, startLoadExchange } from "../peers/loadexchange.js";
import { startPresence } from "../peers/presence.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import type { TopicChange } from "../ports/registry.js";
import { followTopic, type TopicFollower } from "../tasks/followtopic.js";
import { type PartitionLease, startPartitionLease } from "../tasks/partitionlease.js";
import { createServiceRetryBudgets, type ServiceRetryBudgets } from "./budgets.js";
import {
    type ConfigurationReader,
    configurationWaitMilliseconds,
    isConfigurationWatcher,
} from "./configurationwait.js";
import { createDemandMeters } from "./demandmeters.js";
import { startListeners } from "./lifecycle.js";
import { createDaemonMetrics, type DaemonMetrics } from "./metrics.js";
import { registryReadDelayMilliseconds } from "./pace.js";
import type { PlatformPorts, RelaySettings } from "./platformports.js";
import { createPromptQuarantine, type PromptQuarantine } from "./promptquarantine.js";
import { createQuarantineHandler } from "./quarantinehandler.js";
import { createRelay, type Relay } from "./relay.js";
import { type StallDetector, startStallDetector } from "./stalldetector.js";
import { createStalledHeads } from "./stalledheads.js";
import { createRelayState, type RelayState } from "./state.js";
import { logStoreEra, refreshAfterRestore } from "./storerestore.js";
import { createTargetAvailability, type TargetAvailability } from "./targetavailability.js";
import { createTargetConnections } from "./targetconnections.js";

/** Descriptor of standard output. */
const STANDARD_OUTPUT = 1;
const LEASE_MILLISECONDS = 2_500;
/** How long this daemon keeps planning while the store is unreachable, if engines refuse orders of previous owners. */
const LEASE_EXTENSION_MILLISECONDS = 20_000;
/** Hosts write to the registry all the time, so a read rarely waits; a short timeout detects a dead connection early. */
const TARGETS_LONG_POLL_MILLISECONDS = 900;
/** Versions published within this time are read as one batch. */
const CONFIGURATION_READ_DELAY_MILLISECONDS = 200;
/** Other daemons may announce a configuration that is still in transit to this one over a slower link. */
const ANNOUNCED_CONFIGURATION_GRACE_MILLISECONDS = 400;
/** A lost group is usually formed again within this time. */
const GROUP_COUNT_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_PEER_PORT = 7_340;
const CONNECTIONS_PER_TARGET = 40;
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Progress within this time overrides the suspicion of another daemon. */
const RECENT_PROGRESS_MILLISECONDS = 300;

/** Returns whether a target has recently sent bytes of a stream. */
function madeProgress(load: TargetLoad | undefined, now: number): boolean {
    return load !== undefined && load.awaitingFirstEvent < load.inProgress
        && now - load.lastProgressAt < RECENT_PROGRESS_MILLISECONDS;
}

/** Components that most others depend on. */
interface SharedParts {
    readonly settings: RelaySettings;
    readonly ports: PlatformPorts;
    readonly clock: Clock;
    readonly log: EventLog;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
    readonly state: RelayState;
    readonly loadTracker: LoadTracker;
    readonly peerLoads: PeerLoads;
    readonly budgets: ServiceRetryBudgets;
    readonly demandOf: (service: string) => DemandMeter;
    readonly daemons: DaemonList;
    readonly availability: TargetAvailability;
    readonly promptQuarantine: PromptQuarantine;
}

/** Starts the daemon and resolves once it listens. On SIGTERM it drains and exits the process. */
export async function startPlatformDaemon(settings: RelaySettings, ports: PlatformPorts): Promise<void> {
    const { shared, metrics } = createSharedParts(settings, ports, () => relay.inProgress());
    const { log } = shared;
    const relay = wireRelay(shared, head => stallDetector.headUnusable(head));
    const listening = startListeners({ ...settings, log, relay, state: shared.state });
    if (settings.metricsListen !== undefined) {
        await metrics.serve(settings.metricsListen, createQuarantineHandler(shared.promptQuarantine));
    }
    log.emit("daemonStarted", { daemon: settings.daemon });
    logStoreEra(ports.storeEra, log);
    const configuration = followStore(shared);
    const { planner, lease, stallDetector } = wirePlanning(shared, relay, configuration);
    const listeners = await listening;
    process.once("SIGTERM", () => {
        planner.stop();
        Promise.all([listeners.shutDown(), lease.stop()])
            .catch((error: unknown) => log.emit("taskFailed", { task: "shutdown", error }))
            .finally(() => process.exit(0));
    });
    // The first signal has begun the shutdown. Without a listener, a second one would end the process at once.
    process.on("SIGTERM", () => undefined);
    process.on("SIGHUP", () => log.emit("settingsUnchanged"));
}

function createSharedParts(
    settings: RelaySettings,
    ports: PlatformPorts,
    requestsInProgress: () => number,
): { readonly shared: SharedParts; readonly metrics: DaemonMetrics; } {
    const output = createBoundedOutput(STANDARD_OUTPUT);
    const bunyanLog = createBunyanLog({
        daemon: settings.daemon,
        dataCentre: settings.dataCentre,
        level: "info",
        secrets: [],
        stream: output.stream,
    });
    const state = createRelayState((kind, { id, service, address, startedAt, domain }) =>
        metrics.log.emit("targetsChanged", { kind, target: id, service, address, startedAt, domain })
    );
    const metrics = createDaemonMetrics(bunyanLog, {
        requestsInProgress,
        linesDropped: output.dropped,
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        servingGroups: () => state.countServingGroups(),
        limitedTargets: () => availability.limitedTargets(),
        restingTargets: () => availability.restingTargets(),
        unreadableStatements: () => availability.unreadableStatements(),
        quarantinedParts: () => promptQuarantine.quarantined().length,
        storeEra: () => ports.storeEra.current(),
        storeErasIgnored: () => ports.storeEra.ignoredStatements(),
    });
    const daemons = createDaemonList(settings.daemon);
    const peerLoads = createPeerLoads();
    const availability = createTargetAvailability({
        clock: systemClock,
        log: metrics.log,
        self: { daemon: settings.daemon, dataCentre: settings.dataCentre },
        reachableDaemons: () => locate(peerLoads.peers(systemClock.monotonic()), daemons),
        knownDaemons: daemons.count,
        state,
    });
    const promptQuarantine = createPromptQuarantine({
        clock: systemClock,
        log: metrics.log,
        self: settings.daemon,
        reachableDaemons: () => peerLoads.peers(systemClock.monotonic()),
        knownDaemons: daemons.count,
    });
    const shared: SharedParts = {
        settings,
        ports,
        clock: systemClock,
        log: metrics.log,
        random: Math.random,
        state,
        loadTracker: createLoadTracker(),
        peerLoads,
        budgets: createServiceRetryBudgets(settings.retryAllowance, daemons.count),
        demandOf: createDemandMeters(),
        daemons,
        availability,
        promptQuarantine,
    };
    return { shared, metrics };
}

/** Adds the data centres of daemons, as far as they are known. */
function locate(names: readonly string[], daemons: DaemonList): DaemonLocation[] {
    const dataCentres = new Map(daemons.others().map(({ daemon, dataCentre }) => [daemon, dataCentre]));
    return names.map(daemon => ({ daemon, dataCentre: dataCentres.get(daemon) }));
}

function wireRelay(shared: SharedParts, headUnusable: (head: string) => void): Relay {
    const { settings, ports, clock, log, random, state, loadTracker, peerLoads, budgets, demandOf } = shared;
    const relay = createRelay({
        clock,
        log,
        protocol: ports.protocol,
        state,
        connections: createTargetConnections({
            connectionsPerTarget: CONNECTIONS_PER_TARGET,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
        }),
        loadTracker,
        availability: shared.availability,
        promptQuarantine: shared.promptQuarantine,
        stalledHeads: createStalledHeads({ clock, log, loadTracker }),
        headUnusable,
        dataCentre: settings.dataCentre,
        peerLoadOf: target => peerLoads.totalOf(target, clock.monotonic()),
        recentGroupCounts: createSlidingMaximum(GROUP_COUNT_WINDOW_MILLISECONDS),
        demandOf,
        budgetOf: budgets.of,
        random,
    });
    shared.promptQuarantine.onQuarantined(part => relay.cancelWaiting(part));
    return relay;
}

/** Returns the delay between two registry reads in milliseconds. */
function registryReadDelay({ daemons, settings }: SharedParts): number {
    return registryReadDelayMilliseconds(daemons.count(), settings.drainNoticeMilliseconds);
}

/** Returns the position of this daemon among the readers of the configuration. */
function configurationReader({ settings, clock, peerLoads, daemons }: SharedParts): ConfigurationReader {
    return { self: selfOf(settings), peers: locate(peerLoads.peers(clock.monotonic()), daemons) };
}

/** Follows the configuration and the targets; returns the follower of the configuration. */
function followStore(shared: SharedParts): TopicFollower {
    const { settings, ports, log, random, state } = shared;
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
        currentEra: () => ports.storeEra.current(),
        waitMilliseconds: () =>
            configurationWaitMilliseconds(configurationReader(shared), settings.configurationMilliseconds),
        pauseMilliseconds: () => CONFIGURATION_READ_DELAY_MILLISECONDS,
        replace: applyConfigurations,
        apply: applyConfigurations,
    });
    const targets = followTopic({
        topic: ports.targets(log),
        log,
        random,
        currentEra: () => ports.storeEra.current(),
        waitMilliseconds: () => TARGETS_LONG_POLL_MILLISECONDS,
        pauseMilliseconds: () => registryReadDelay(shared),
        // The long poll for the configuration uses the same network, so its connection is probably dead as well.
        onLost: () => configuration.refresh(0),
        replace: (changes, isRestored) => state.replaceTargets(changes.flatMap(({ value }) => value ?? []), isRestored),
        apply: changes => state.applyTargets(changes),
    });
    refreshAfterRestore(ports.storeEra, [configuration, targets]);
    return configuration;
}

function wirePlanning(
    shared: SharedParts,
    relay: Relay,
    configuration: TopicFollower,
): { readonly planner: EnginePlanner; readonly lease: PartitionLease; readonly stallDetector: StallDetector; } {
    const { settings, ports, clock, log, random, state, loadTracker, budgets, daemons } = shared;
    const lease = startPartitionLease({
        group: ports.partitions,
        clock,
        log,
        leaseMilliseconds: LEASE_MILLISECONDS,
        extensionMilliseconds: settings.enginesEnforceFencing ? LEASE_EXTENSION_MILLISECONDS : 0,
        isOfCurrentEra: fencingToken => eraOf(fencingToken) >= ports.storeEra.current(),
    });
    const exchange = wireExchange(shared, configuration, head => planner.suspect(head));
    const planner = startEnginePlanner({
        clock,
        log,
        state,
        lease,
        partitionCount: ports.partitions.partitionCount,
        engines: ports.engines(log),
        trafficSeen: budgets.hasRequests,
        demandOf: shared.demandOf,
        registryDelayMilliseconds: () => registryReadDelay(shared),
        onMembership: reported => {
            state.applyMembership(reported);
            exchange.broadcastMembership(reported);
        },
    });
    const presence = startPresence({
        topic: ports.presence(log),
        self: selfOf(settings),
        log,
        random,
        storeEra: ports.storeEra,
        setPeers: daemons.replace,
    });
    refreshAfterRestore(ports.storeEra, [presence]);
    ports.storeEra.onRisen(() => lease.invalidate("The platform's store came back from an older copy."));
    const stallDetector = startStallDetector({
        clock,
        log,
        loadTracker,
        groupOf: host => groupOf(state, host),
        moveStreams: head => relay.moveStreams(head),
        report: head => {
            planner.suspect(head);
            const group = groupOf(state, head);
            if (group !== undefined) {
                exchange.suspect({ head, group });
            }
        },
    });
    return { planner, lease, stallDetector };
}

/** Starts the exchange with the other daemons; `suspect` is called for each head that another daemon suspects. */
function wireExchange(
    shared: SharedParts,
    configuration: TopicFollower,
    suspect: (head: string) => void,
): LoadExchange {
    const { settings, clock, log, state, loadTracker, peerLoads, daemons, availability, promptQuarantine } = shared;
    const suspicions = createSuspicions();
    const exchange = startLoadExchange({
        clock,
        log,
        self: selfOf(settings),
        daemons,
        port: settings.internalPorts[0] ?? DEFAULT_PEER_PORT,
        loadTracker,
        peerLoads,
        onMembership: reported => state.applyMembership(reported),
        limits: () => availability.limits(),
        onLimit: limit => availability.mergeLimit(limit),
        leaving: () => availability.leaving(),
        onLeaving: (statement, daemon) => availability.mergeLeaving(statement, daemon),
        quarantine: () => promptQuarantine.report(),
        hasQuarantineNews: () => promptQuarantine.hasNews(),
        onQuarantine: (report, daemon) => promptQuarantine.merge(report, daemon),
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        announcesConfiguration: () => isConfigurationWatcher(configurationReader(shared)),
        onNewerConfiguration: () => configuration.refresh(ANNOUNCED_CONFIGURATION_GRACE_MILLISECONDS),
        onSuspicion: ({ head, group }, daemon) => {
            if (groupOf(state, head) !== group) {
                return;
            }
            suspect(head);
            const isConfirmed = suspicions.record(group, daemon, clock.monotonic());
            if (isConfirmed && !madeProgress(loadTracker.get(head), clock.monotonic())) {
                loadTracker.suspect(head, clock.monotonic(), group);
            }
        },
    });
    availability.onChange(() => exchange.broadcastKnowledge());
    promptQuarantine.onNews(() => exchange.broadcastKnowledge());
    return exchange;
}

function selfOf({ daemon, ip, dataCentre }: RelaySettings): DaemonPresence {
    return { daemon, ip, dataCentre };
}

/** Returns the current group of a host, if it is known. */
function groupOf(state: RelayState, host: string): string | undefined {
    return state.targetById(host)?.membership?.group;
}
