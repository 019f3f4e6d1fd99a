/** Composition root: the only module that connects the parts of the daemon. */
import {
    CLAIM_PARTITIONS,
    claimsFold,
    claimsStream,
    createAdmission,
    createRouter,
    type FoldDefinition,
    groupsFold,
    membersFold,
    tableFold,
} from "@damaskvale/core";
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { createBunyanLog } from "./adapters/bunyanlog.js";
import { systemClock } from "./adapters/clock.js";
import { createEngineClient } from "./adapters/engineclient.js";
import { createForwarder } from "./adapters/forwardclient.js";
import { createHostList } from "./adapters/hostlist.js";
import { createOpenTelemetryTracer } from "./adapters/opentelemetry.js";
import { WebSocketPeerNetwork } from "./adapters/peernetwork.js";
import { createPlatformLog } from "./adapters/platformlog.js";
import { createTargetPools } from "./adapters/pools.js";
import { createServiceClient } from "./adapters/serviceclient.js";
import { createStatsd } from "./adapters/statsd.js";
import { createTargetFaultReporter } from "./adapters/targetfaults.js";
import { createControlHandler } from "./control/control.js";
import { fetchExplanationFromOwner, handlePeerRequests } from "./control/peers.js";
import { fetchAllStatuses, fetchDaemonStatus, readGroups, readHosts, type StatusSources } from "./control/status.js";
import { createDispatcher } from "./dispatch/dispatcher.js";
import { createRetryPolicy } from "./dispatch/retries.js";
import { createFrontEnd } from "./front/front.js";
import { listenOn } from "./front/server.js";
import type { RelayedDemand } from "./messages.js";
import type { StreamHealth } from "./ports/stream.js";
import type { Settings } from "./settings.js";
import { createClaims } from "./tasks/claims.js";
import { createStreamExchange } from "./tasks/exchange.js";
import { createFollowedStream } from "./tasks/follower.js";
import { GroupsTask } from "./tasks/groups.js";
import { GroupViewTask } from "./tasks/groupview.js";
import { HostsTask } from "./tasks/hosts.js";
import { createLimitsTask } from "./tasks/limits.js";
import { MembershipTask } from "./tasks/membership.js";
import { ObserverTask } from "./tasks/observer.js";
import { createPeerRequests } from "./tasks/peerrequests.js";
import { publishTableView } from "./tasks/tableview.js";

/** Running daemon. */
export interface RunningDaemon {
    /** Refuses new requests, waits for those in progress up to the shutdown bound, and stops. Returns the ids cut off. */
    drain(): Promise<string[]>;
    /** Ends the wait of `drain` immediately and cuts off the requests in progress. */
    cutOff(): void;
}

type Adapters = ReturnType<typeof createAdapters>;
type Streams = ReturnType<typeof createStreams>;
type Cluster = ReturnType<typeof createCluster>;
type RequestPath = ReturnType<typeof createRequestPath>;

const INCARNATION_BYTES = 6;
const READY_POLL_MILLISECONDS = 50;
/** Longest wait of a shutdown until the outcomes of non-repeatable requests are in the log. */
const OUTCOMES_TIMEOUT_MILLISECONDS = 5_000;

/** Starts a daemon; resolves once it listens on both addresses. */
export async function startDaemon(settings: Settings): Promise<RunningDaemon> {
    const adapters = createAdapters(settings);
    const streams = createStreams(settings, adapters);
    const cluster = createCluster(settings, adapters, streams);
    const requestPath = createRequestPath(settings, adapters, streams, cluster);
    await requestPath.front.listen();
    await listenOn(requestPath.peerServer, settings.peerListen);
    streams.all.forEach(stream => stream.start());
    cluster.start();
    requestPath.limits.start();
    adapters.events.emit("daemonStarted", { listen: settings.listen, peerListen: settings.peerListen });
    const readiness = setInterval(() => {
        if (requestPath.ready()) {
            clearInterval(readiness);
            adapters.events.emit("daemonReady");
        }
    }, READY_POLL_MILLISECONDS);
    return createShutdown(settings, adapters, streams, cluster, requestPath, () => clearInterval(readiness));
}

function seed(): number {
    return randomBytes(4).readInt32LE();
}

function createAdapters(settings: Settings) {
    const { name: daemon, dataCentre, platform, targetCredential, peerSecret, operatorTokens } = settings;
    const secrets = [targetCredential, peerSecret, ...operatorTokens.map(({ token }) => token)];
    const events = createBunyanLog({ daemon, dataCentre, level: settings.logLevel, secrets });
    const onError = (error: Error): void => events.emit("metricsFailed", { error });
    const metrics = createStatsd({ address: settings.statsdAddress, daemon, dataCentre, onError });
    const tracer = createOpenTelemetryTracer({ daemon, dataCentre, url: settings.otlpUrl });
    const pools = createTargetPools();
    const targetOptions = {
        pools,
        credential: targetCredential,
        ...createTargetFaultReporter(metrics, events),
    };
    const author = { daemon, incarnation: randomBytes(INCARNATION_BYTES).toString("hex") };
    const shared = { clock: systemClock, metrics, eventLog: events };
    const generator = xorshift128plus(seed());
    return {
        ...shared,
        generator,
        random: () => uniformFloat64(generator),
        events,
        tracer,
        pools,
        author,
        platformLog: createPlatformLog({ url: platform }),
        hostList: createHostList({ url: platform }),
        engines: createEngineClient(targetOptions),
        services: createServiceClient(targetOptions),
        forwarder: createForwarder({ pools, daemon, peerSecret }),
        network: new WebSocketPeerNetwork({ ...shared, ...author, dataCentre, secret: peerSecret, seed: seed() }),
    };
}

function createStreams(settings: Settings, adapters: Adapters) {
    const exchange = createStreamExchange(adapters.network, adapters.events);
    const shared = { ...adapters, log: adapters.platformLog, exchange };
    const stream = <State, Body>(name: string, definition: FoldDefinition<State, Body>) =>
        createFollowedStream({ ...shared, name, definition });
    const configuration = stream("configuration", tableFold);
    const groups = stream(`groups.${settings.dataCentre}`, groupsFold);
    const members = stream("members", membersFold);
    const claims = [...Array(CLAIM_PARTITIONS).keys()].map(partition => stream(claimsStream(partition), claimsFold));
    return { configuration, groups, members, claims, all: [configuration, groups, members, ...claims] };
}

/** Exchange of demand: the membership task sends and receives it for the limits task. */
interface DemandExchange {
    demand: () => Readonly<Record<string, number>>;
    receive: (statements: readonly RelayedDemand[]) => void;
}

function createCluster(settings: Settings, adapters: Adapters, streams: Streams) {
    const { name: daemon, dataCentre } = settings;
    const { incarnation } = adapters.author;
    const table = publishTableView(streams.configuration.folded);
    // The tasks refer to each other, so values that are read only after the start are passed as functions.
    const demandExchange: DemandExchange = { demand: () => ({}), receive: () => undefined };
    const configurationOffsets = new Map<string, number>();
    const membership: MembershipTask = new MembershipTask({
        ...adapters,
        self: { daemon, dataCentre, address: settings.peerListen, incarnation },
        seeds: settings.peers,
        seed: seed(),
        stream: streams.members,
        shared: {
            offsets: () =>
                Object.fromEntries(streams.all.map(({ name, folded }) => [name, folded.current().nextOffset])),
            demand: () => demandExchange.demand(),
            models: () => view.models(),
            observations: () => observer.sharedObservations(),
        },
        onOffsets: (peer, offsets) => {
            configurationOffsets.set(peer, offsets["configuration"] ?? 0);
            streams.all.filter(({ name }) => name in offsets).forEach(stream =>
                stream.receivePeerOffset(peer, offsets[stream.name] ?? 0)
            );
        },
        onDemand: statements => demandExchange.receive(statements),
        onObservations: (...[, observations, sentAt]) => observer.merge(observations, sentAt),
    });
    const members = membership.members;
    const owned = () =>
        new Set(Object.values(streams.groups.folded.current().state.groups).flatMap(({ members }) => members));
    const hosts = new HostsTask({ ...adapters, dataCentre, list: adapters.hostList, owned });
    const observer = new ObserverTask({ ...adapters, hosts: hosts.hosts, members, engine: adapters.engines });
    const observed = { hosts: hosts.hosts, observations: observer.observations, members, table };
    const view = new GroupViewTask({ ...adapters, ...observed, dataCentre, folded: streams.groups.folded });
    const groups = new GroupsTask({
        ...adapters,
        ...observed,
        daemon,
        incarnation,
        dataCentre,
        stream: streams.groups,
        engine: adapters.engines,
    });
    const claims = createClaims({ ...adapters, streams: streams.claims });
    return {
        ...observed,
        view,
        claims,
        demandExchange,
        configurationOffsets,
        start: () => [membership, hosts, observer, groups].forEach(task => task.start()),
        stop: async () => {
            await groups.stop();
            await membership.stop();
            [hosts, observer, view].forEach(task => task.stop());
        },
    };
}

function createRequestPath(settings: Settings, adapters: Adapters, streams: Streams, cluster: Cluster) {
    const { name: daemon, dataCentre } = settings;
    const { incarnation } = adapters.author;
    const { table, members, claims, view } = cluster;
    const limits = createLimitsTask({ clock: adapters.clock, table, members, takeDemand: () => dispatcher.demand() });
    const dispatcher = createDispatcher({
        ...adapters,
        table,
        groups: view,
        claims,
        admission: createAdmission(),
        shares: limits.shares,
        retries: createRetryPolicy(adapters.generator),
        createRouter: () => createRouter({ random: adapters.generator }),
        log: adapters.events,
        concurrencyPerGroup: settings.concurrencyPerGroup,
    });
    cluster.demandExchange.demand = limits.localDemand;
    cluster.demandExchange.receive = limits.receivePeerDemand;
    const state = { draining: false, configured: false };
    const ready = (): boolean => {
        state.configured ||= hasConfiguration(streams.configuration.health());
        return state.configured && !state.draining;
    };
    const front = createFrontEnd({
        ...settings,
        ...adapters,
        daemon,
        incarnation,
        dispatcher,
        table,
        ready,
        log: adapters.events,
    });
    const peerServer = createServer(front.handleForwarded);
    adapters.network.attach(peerServer);
    const peerRequests = createPeerRequests(adapters.network);
    const sources: StatusSources = {
        ...adapters,
        ...cluster,
        daemon,
        dataCentre,
        incarnation,
        peerRequests,
        state: () => state.draining ? "draining" : ready() ? "ready" : "starting",
        streams: () => streams.all.map(stream => stream.health()),
        groups: () => view.status(),
        requestsInProgress: () => front.inProgress(),
    };
    handlePeerRequests(adapters.network, sources, requestId => dispatcher.explain(requestId));
    const control = createControlHandler({
        operators: new Map(settings.operatorTokens.map(({ name, token }) => [token, name])),
        clock: adapters.clock,
        events: adapters.events,
        table: table.current,
        configuration: streams.configuration,
        platformLog: adapters.platformLog,
        maximumBodyBytes: settings.maximumBodyBytes,
        configurationOffsets: () => liveOffsets(cluster, daemon),
        fetchConfigurationOffset: async peer => (await fetchDaemonStatus(sources, peer))?.configurationOffset,
        fetchAllStatuses: () => fetchAllStatuses(sources),
        hosts: () => readHosts(sources),
        groups: () => readGroups(sources),
        explain: async requestId =>
            dispatcher.explain(requestId) ?? await fetchExplanationFromOwner(peerRequests, requestId),
    });
    front.registerControl((request, response) => void control(request, response));
    return { front, peerServer, limits, dispatcher, state, ready };
}

/** Without the platform, a state from a peer or a snapshot is sufficient; a partially read log is not. */
function hasConfiguration({ caughtUp, source }: StreamHealth): boolean {
    return caughtUp || source === "peer" || source === "snapshot";
}

/** Returns the next configuration offset that each live daemon reported, including this daemon. */
function liveOffsets({ members, configurationOffsets, table }: Cluster, daemon: string): ReadonlyMap<string, number> {
    return new Map(
        members.current().live.map(member => [
            member.daemon,
            member.daemon === daemon ? table.current().nextOffset : configurationOffsets.get(member.daemon) ?? 0,
        ]),
    );
}

function createShutdown(
    settings: Settings,
    adapters: Adapters,
    streams: Streams,
    cluster: Cluster,
    requestPath: RequestPath,
    stopReadiness: () => void,
): RunningDaemon {
    let cutOffNow: () => void = () => undefined;
    const secondSignal = new Promise<void>(resolve => {
        cutOffNow = resolve;
    });
    return {
        cutOff: () => cutOffNow(),
        drain: async () => {
            stopReadiness();
            requestPath.state.draining = true;
            requestPath.front.beginDrain();
            adapters.events.emit("daemonDraining", { inProgress: requestPath.front.inProgress() });
            const closed = requestPath.front.close().then(() => true);
            const bound = delay(settings.shutdownBoundMilliseconds, false, { ref: false });
            const finished = await Promise.race([closed, bound, secondSignal.then(() => false)]);
            const cut = finished ? [] : requestPath.front.cutOff();
            if (cut.length > 0) {
                adapters.events.emit("shutdownCut", { requests: cut });
            }
            requestPath.limits.stop();
            await cluster.claims.drain(OUTCOMES_TIMEOUT_MILLISECONDS);
            cluster.claims.stop();
            await cluster.stop();
            await Promise.all(streams.all.map(stream => stream.stop()));
            adapters.network.close();
            await Promise.all([adapters.metrics.close(), adapters.tracer.close(), adapters.pools.close()]);
            adapters.events.emit("daemonStopped");
            return cut;
        },
    };
}
