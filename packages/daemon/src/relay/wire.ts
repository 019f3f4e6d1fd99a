/** Composition root of the daemon on a platform: connects the relay, the topic followers and the engine planner. */
import { createRouteTimes, createSlidingMaximum, createSuspicions, eraOf, type TargetLoad } from "@damaskvale/core";
import { type EnginePlanner, startEnginePlanner } from "../engines/engineplanner.js";
import { startLoadExchange } from "../peers/loadexchange.js";
import type { LoadExchange } from "../peers/loadexchangeparts.js";
import { createStreamAdmission } from "../shedding/streamadmission.js";
import { type PartitionLease, startPartitionLease } from "../tasks/partitionlease.js";
import { isConfigurationWatcher } from "./configurationwait.js";
import { type Listeners, startListeners } from "./lifecycle.js";
import { createMembershipNotice } from "./membershipnotice.js";
import { collectorReadDelayMilliseconds } from "./pace.js";
import { createPartitionCandidate } from "./partitioncandidate.js";
import type { PlatformPorts, RelaySettings } from "./platformports.js";
import { createQuarantineHandler } from "./quarantinehandler.js";
import { createRelay, type Relay } from "./relay.js";
import { CONNECT_TIMEOUT_MILLISECONDS, createSharedParts, presenceOf, type SharedParts } from "./sharedparts.js";
import { createSlowTargetsHandler } from "./slowtargetshandler.js";
import { type StallDetector, startStallDetector } from "./stalldetector.js";
import { createStalledHeads } from "./stalledheads.js";
import type { RelayState } from "./statetypes.js";
import { configurationReader, startStoreFollowers, type StoreFollowers } from "./storefollowers.js";
import { logStoreEra } from "./storerestore.js";
import { createTargetConnections } from "./targetconnections.js";
import { createTargetLiveness } from "./targetliveness.js";

const LEASE_MILLISECONDS = 2_500;
/** How long this daemon keeps planning while the store is unreachable, if engines refuse orders of previous owners. */
const LEASE_EXTENSION_MILLISECONDS = 20_000;
/** A lost group is usually formed again within this time. */
const GROUP_COUNT_WINDOW_MILLISECONDS = 10_000;
const DEFAULT_PEER_PORT = 7_340;
/** A shorter cut can be a pause of this process, which says nothing about the connections and heads. */
const LASTING_CUT_MILLISECONDS = 1_000;
/** Streams that are handed over keep a connection each. */
const CONNECTIONS_PER_DAEMON = 128;
/** Progress within this time overrides the suspicion of another daemon. */
const RECENT_PROGRESS_MILLISECONDS = 300;

/** Returns whether a target has recently sent bytes of a stream. */
function madeProgress(load: TargetLoad | undefined, now: number): boolean {
    return load !== undefined && load.awaitingFirstEvent < load.inProgress
        && now - load.lastProgressAt < RECENT_PROGRESS_MILLISECONDS;
}

/** How long the exit waits for the last lines of the log to be written. */
const LOG_FLUSH_MILLISECONDS = 20;

/** Starts the daemon and resolves once it listens. On SIGTERM it drains and exits the process. */
export async function startPlatformDaemon(settings: RelaySettings, ports: PlatformPorts): Promise<void> {
    const { shared, metrics, output } = createSharedParts(settings, ports, () => relay.inProgress());
    const { log } = shared;
    const relay = wireRelay(shared, head => stallDetector.headUnusable(head));
    const listening = startListeners({
        ...settings,
        log,
        relay,
        state: shared.state,
        callerResources: shared.callerResources,
        daemons: {
            listen: `${settings.ip}:${peerPortOf(settings)}`,
            isDaemonAddress: shared.handOverDaemons.isDaemonAddress,
        },
    });
    if (settings.metricsListen !== undefined) {
        const handlers = [
            createQuarantineHandler(shared.requestQuarantine),
            createSlowTargetsHandler(shared.speeds, shared.state),
        ];
        await metrics.serve(
            settings.metricsListen,
            (request, response) => handlers.some(handle => handle(request, response)),
            server => shared.callerResources.protect(server),
        );
    }
    log.emit("daemonStarted", { daemon: settings.daemon });
    logStoreEra(ports.storeEra, log);
    const followers = startStoreFollowers(shared);
    const listeners = await listening;
    const { planner, lease, stallDetector } = wirePlanning(shared, relay, followers, listeners);
    process.once("SIGTERM", () => {
        planner.stop();
        Promise.all([listeners.shutDown(), lease.stop()])
            .catch((error: unknown) => log.emit("taskFailed", { task: "shutdown", error }))
            .finally(() => void output.flush(LOG_FLUSH_MILLISECONDS).then(() => process.exit(0)));
    });
    // The first signal has begun the shutdown. Without a listener, a second one would end the process at once.
    process.on("SIGTERM", () => undefined);
    process.on("SIGHUP", () => log.emit("settingsUnchanged"));
}

function wireRelay(shared: SharedParts, headUnusable: (head: string) => void): Relay {
    const { settings, ports, clock, log, random, state, loadTracker, statedLoads, budgets, demandOf } = shared;
    const routeTimes = createRouteTimes();
    const relay = createRelay({
        clock,
        log,
        protocol: ports.protocol,
        state,
        connections: shared.connections,
        loadTracker,
        availability: shared.availability,
        requestQuarantine: shared.requestQuarantine,
        reachability: shared.reachability,
        speeds: shared.speeds,
        failures: shared.failures,
        routeTimes,
        stalledHeads: createStalledHeads({ clock, log, loadTracker }),
        isTargetAlive: createTargetLiveness(state, ports.engines(log)),
        headUnusable,
        dataCentre: settings.dataCentre,
        peerLoadOf: target => statedLoads.totalOf(target, clock.monotonic()),
        recentGroupCounts: createSlidingMaximum(GROUP_COUNT_WINDOW_MILLISECONDS),
        demandOf,
        budgetOf: budgets.of,
        admission: createStreamAdmission({ clock, log, random, knownDaemons: shared.daemons.count }),
        random,
    }, {
        connections: createTargetConnections({
            connectionsPerTarget: CONNECTIONS_PER_DAEMON,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            localAddress: settings.ip,
        }),
        port: peerPortOf(settings),
        choose: shared.handOverDaemons.choose,
    });
    shared.coldTargets.onRestarted(target => {
        loadTracker.clear(target);
        shared.speeds.forget(target);
        routeTimes.forget(target);
    });
    shared.requestQuarantine.onQuarantined(part => relay.cancelWaiting(part));
    return relay;
}

/** Reports each change to the other daemons, and forgets what this one concluded about targets while it reached none. */
function followReachability(
    { reachability, loadTracker, state, connections }: SharedParts,
    exchange: LoadExchange,
): void {
    reachability.onChange((isCutOff, lastedMilliseconds) => {
        if (!isCutOff && lastedMilliseconds >= LASTING_CUT_MILLISECONDS) {
            loadTracker.targets().forEach(target => loadTracker.clear(target));
            state.targets().forEach(({ address }) => connections.renew(address));
        }
        exchange.broadcastKnowledge();
    });
}

/** Returns the port at which daemons exchange messages and hand over requests. */
function peerPortOf({ internalPorts }: RelaySettings): number {
    return internalPorts[0] ?? DEFAULT_PEER_PORT;
}

function wirePlanning(
    shared: SharedParts,
    relay: Relay,
    followers: StoreFollowers,
    listeners: Listeners,
): { readonly planner: EnginePlanner; readonly lease: PartitionLease; readonly stallDetector: StallDetector; } {
    const { settings, ports, clock, log, state, loadTracker, budgets, daemons } = shared;
    const lease = startPartitionLease({
        group: ports.partitions,
        clock,
        log,
        leaseMilliseconds: LEASE_MILLISECONDS,
        extensionMilliseconds: settings.enginesEnforceFencing ? LEASE_EXTENSION_MILLISECONDS : 0,
        isCandidate: createPartitionCandidate({
            clock,
            daemon: settings.daemon,
            partitionCount: ports.partitions.partitionCount,
            running: shared.otherDaemons,
            announced: () => daemons.others().map(({ daemon }) => daemon),
        }),
        isOfCurrentEra: fencingToken => eraOf(fencingToken) >= ports.storeEra.current(),
    });
    const exchange = wireExchange(shared, followers, listeners, head => planner.suspect(head));
    followers.connect(exchange);
    followReachability(shared, exchange);
    const planner = startEnginePlanner({
        clock,
        log,
        state,
        lease,
        partitionCount: ports.partitions.partitionCount,
        engines: ports.engines(log),
        trafficSeen: budgets.hasRequests,
        demandOf: shared.demandOf,
        isEvacuated: shared.evacuations.isEvacuated.bind(shared.evacuations),
        registryDelayMilliseconds: () => collectorReadDelayMilliseconds(settings.drainNoticeMilliseconds),
        onMembership: createMembershipNotice(state, exchange.broadcastMembership.bind(exchange)),
    });
    ports.storeEra.onRisen(() => lease.invalidate("The platform's store came back from an older copy."));
    const stallDetector = startStallDetector({
        clock,
        log,
        loadTracker,
        groupOf: host => groupOf(state, host),
        moveStreams: head => relay.moveStreams(head),
        report: head => {
            shared.reachability.recordMissed(head);
            planner.suspect(head);
            const group = groupOf(state, head);
            if (group !== undefined && !shared.reachability.isDoubtful()) {
                exchange.suspect({ head, group });
            }
        },
    });
    return { planner, lease, stallDetector };
}

/** Starts the exchange with the other daemons; `suspect` is called for each head that another daemon suspects. */
function wireExchange(
    shared: SharedParts,
    followers: StoreFollowers,
    listeners: Listeners,
    suspect: (head: string) => void,
): LoadExchange {
    const { settings, clock, log, state, loadTracker, startedAt, statedLoads, roster, daemons } = shared;
    const { availability, evacuations, requestQuarantine, reachability } = shared;
    const suspicions = createSuspicions();
    const exchange = startLoadExchange({
        clock,
        log,
        self: presenceOf(settings),
        daemons,
        port: peerPortOf(settings),
        startedAt,
        loadTracker,
        statedLoads,
        roster,
        speeds: shared.speeds,
        failures: shared.failures,
        onMembership: reported => state.applyMembership(reported),
        onTargets: followers.offerTargets,
        onConfiguration: followers.offerConfiguration,
        evacuations: () => evacuations.statements(),
        onEvacuation: (statement, daemon) => evacuations.merge(statement, daemon),
        limits: () => availability.limits(),
        onLimit: limit => availability.mergeLimit(limit),
        leaving: () => availability.leaving(),
        onLeaving: (statement, daemon) => availability.mergeLeaving(statement, daemon),
        quarantine: () => requestQuarantine.report(),
        hasQuarantineUpdates: () => requestQuarantine.hasUpdates(),
        onQuarantine: (report, daemon) => requestQuarantine.merge(report, daemon),
        takesRequests: () => state.lookup() !== undefined && !reachability.isCutOff() && !listeners.isDraining(),
        configurationVersion: () => state.lookup()?.configuration.version ?? 0,
        announcesConfiguration: () => isConfigurationWatcher(configurationReader(shared)),
        newestConfiguration: followers.newestConfiguration,
        onNewerConfiguration: followers.readNewerConfiguration,
        onCollectorHeard: followers.rest,
        configurationAgeMilliseconds: followers.configurationAgeMilliseconds,
        onUnknownDaemons: followers.readUnknownDaemons,
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
    evacuations.onChange(() => exchange.broadcastKnowledge());
    requestQuarantine.onUpdate(() => exchange.broadcastQuarantine());
    return exchange;
}

/** Returns the current group of a host, if it is known. */
function groupOf(state: RelayState, host: string): string | undefined {
    return state.targetById(host)?.membership?.group;
}
