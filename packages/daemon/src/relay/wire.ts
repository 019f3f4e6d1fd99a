/** Wires the relay, the followers and the engine planner into a daemon behind a platform's ports. */
import {
    createLoadBoard,
    createPeerLoads,
    createRetryBudget,
    type RetryBudget,
    type TargetLoad,
} from "@damaskvale/core";
import { createBoundedOutput } from "../adapters/boundedoutput.js";
import { createBunyanLog } from "../adapters/bunyanlog.js";
import { systemClock } from "../adapters/clock.js";
import { startEnginePlanner } from "../engines/engineplanner.js";
import { startLoadExchange } from "../peers/loadexchange.js";
import { startPresence } from "../peers/presence.js";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PresenceTopic } from "../ports/presence.js";
import type { ConfigurationTopic, PartitionGroup, TargetTopic } from "../ports/registry.js";
import type { RelayProtocol } from "../ports/relayprotocol.js";
import { followTopic } from "../tasks/followtopic.js";
import { startPartitionLease } from "../tasks/partitionlease.js";
import { startListeners } from "./lifecycle.js";
import { createRelay } from "./relay.js";
import { startStallWatch } from "./stallwatch.js";
import { createRelayState } from "./state.js";
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
    /** Repeats for each request that the platform allows over a window, plus a fixed number, over all daemons. */
    readonly retryRatio: number;
    readonly retryWindowMilliseconds: number;
    readonly retrySlack: number;
    readonly minimumLeaseMilliseconds: number;
    /** Whether engines refuse orders with a lower fencing token than one they have seen. */
    readonly enginesRefuseOldTokens: boolean;
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
const CONFIGURATION_PAUSE_MILLISECONDS = 50;
/** Hosts write to the registry some fifty times a second; their changes are read together. */
const TARGETS_PAUSE_MILLISECONDS = 200;
const DEFAULT_PEER_PORT = 7_340;
const CONNECTIONS_PER_TARGET = 40;
const CONNECT_TIMEOUT_MILLISECONDS = 400;
/** Share of the allowed ratio of repeats that daemons use, as their windows are not aligned with the platform's. */
const RETRY_RATIO_SHARE = 0.7;
/** Daemons among which the fixed number of repeats is divided. */
const RETRY_SHARES = 12;

/** Progress within this time outweighs the suspicion of another daemon. */
const RECENT_PROGRESS_MILLISECONDS = 300;

/** Returns whether a target sent bytes of a stream lately. */
function madeProgress(load: TargetLoad | undefined, now: number): boolean {
    return load !== undefined && load.unstarted < load.inProgress
        && now - load.progressAt < RECENT_PROGRESS_MILLISECONDS;
}

/** Starts the daemon; resolves when it listens. It ends the process after SIGTERM. */
export async function startPlatformDaemon(settings: RelaySettings, ports: PlatformPorts): Promise<void> {
    const output = createBoundedOutput(STANDARD_OUTPUT);
    const log = createBunyanLog({
        daemon: settings.daemon,
        dataCentre: settings.dataCentre,
        level: "info",
        secrets: [],
        stream: output.stream,
    });
    const clock = systemClock;
    const random = Math.random;
    const state = createRelayState();
    const board = createLoadBoard();
    const peerLoads = createPeerLoads();
    const connections = createTargetConnections({
        connectionsPerTarget: CONNECTIONS_PER_TARGET,
        connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
    });
    let trafficSeen = false;
    const budgets = new Map<string, RetryBudget>();
    const budgetOf = (service: string): RetryBudget => {
        const budget = budgets.get(service) ?? createRetryBudget({
            ratio: settings.retryRatio * RETRY_RATIO_SHARE,
            minimumPerSecond: settings.retrySlack / RETRY_SHARES * 1_000 / settings.retryWindowMilliseconds,
            windowMilliseconds: settings.retryWindowMilliseconds,
        });
        budgets.set(service, budget);
        trafficSeen = true;
        return budget;
    };
    const relay = createRelay({
        clock,
        log,
        protocol: ports.protocol,
        state,
        connections,
        board,
        dataCentre: settings.dataCentre,
        loadOfOthers: target => peerLoads.of(target, clock.monotonic()),
        budgetOf,
        random,
    });
    const listening = startListeners({ ...settings, log, relay, state });
    log.emit("daemonStarted", { daemon: settings.daemon });

    followTopic({
        topic: ports.configuration(log),
        clock,
        log,
        random,
        pauseMilliseconds: CONFIGURATION_PAUSE_MILLISECONDS,
        replace: changes =>
            changes.forEach(({ value }) => value && applyConfiguration(value.version, state.applyConfiguration(value))),
        apply: changes =>
            changes.forEach(({ value }) => value && applyConfiguration(value.version, state.applyConfiguration(value))),
    });
    followTopic({
        topic: ports.targets(log),
        clock,
        log,
        random,
        pauseMilliseconds: TARGETS_PAUSE_MILLISECONDS,
        replace: changes => state.replaceTargets(changes.flatMap(({ value }) => value ?? [])),
        apply: changes => state.applyTargets(changes),
    });
    const lease = startPartitionLease({
        group: ports.partitions,
        clock,
        log,
        leaseMilliseconds: LEASE_MILLISECONDS,
        extensionMilliseconds: settings.enginesRefuseOldTokens ? LEASE_EXTENSION_MILLISECONDS : 0,
    });
    const planner = startEnginePlanner({
        clock,
        log,
        state,
        lease,
        partitionCount: ports.partitions.partitionCount,
        engines: ports.engines(log),
        trafficSeen: () => trafficSeen,
        onMembership: told => {
            state.applyMembership(told);
            exchange.tellMembership(told);
        },
    });
    const self = { daemon: settings.daemon, ip: settings.ip, dataCentre: settings.dataCentre };
    const exchange = startLoadExchange({
        clock,
        log,
        self,
        port: settings.internalPorts[0] ?? DEFAULT_PEER_PORT,
        board,
        peerLoads,
        onMembership: told => state.applyMembership(told),
        onSuspicion: head => {
            planner.suspect(head);
            if (!madeProgress(board.of(head), clock.monotonic())) {
                board.suspect(head, clock.monotonic());
            }
        },
    });
    const presence = ports.presence(log);
    startPresence({ topic: presence, self, clock, log, random, setPeers: peers => exchange.setPeers(peers) });
    startStallWatch({
        clock,
        log,
        board,
        moveStreams: head => relay.moveStreams(head),
        report: head => {
            planner.suspect(head);
            exchange.suspect(head);
        },
    });
    const listeners = await listening;
    process.once("SIGTERM", () => {
        planner.stop();
        Promise.all([listeners.shutDown(), lease.stop()]).finally(() => process.exit(0));
    });
    process.on("SIGHUP", () => undefined);

    function applyConfiguration(version: number, taken: boolean): void {
        if (taken) {
            log.emit("configurationApplied", { configurationVersion: version });
        }
    }
}
