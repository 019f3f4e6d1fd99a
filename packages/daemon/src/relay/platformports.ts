/** Settings of the daemon on a platform, and the adapters that the platform provides. */
import type { ColdStartTolerance, StoreEra } from "@damaskvale/core";
import type { EngineControl } from "../ports/enginecontrol.js";
import type { EventLog } from "../ports/eventlog.js";
import type { PresenceTopic } from "../ports/presence.js";
import type { ConfigurationTopic, PartitionGroup, TargetTopic } from "../ports/registry.js";
import type { RelayProtocol } from "../ports/relayprotocol.js";
import type { RetryAllowance } from "./budgets.js";

/** Settings of the daemon on a platform. */
export interface RelaySettings {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly ip: string;
    /** Capacity of this host's network link in Mbit/s, if it is known. */
    readonly linkMegabits?: number;
    /** Memory of the daemon; its share that is held for callers follows from it. */
    readonly memoryMegabytes: number;
    /** First and last port of the range for messages between daemons. */
    readonly internalPorts: readonly number[];
    readonly callerListen: string;
    readonly readinessListen: string;
    readonly shutdownMilliseconds: number;
    /** Time within which a target that announced that it is draining must stop getting requests. */
    readonly drainNoticeMilliseconds: number;
    /** Time within which a published configuration must be in force. */
    readonly configurationMilliseconds: number;
    /** `IP:PORT` at which metrics are served; absent if they are not served. */
    readonly metricsListen?: string;
    readonly retryAllowance: RetryAllowance;
    /** Whether engines refuse orders with a lower fencing token than the highest they have seen. */
    readonly enginesEnforceFencing: boolean;
    /** How far the requests to a cold target may exceed its rate; absent if cold targets are not limited. */
    readonly coldStartTolerance?: ColdStartTolerance;
    /** Whether plain targets that fail a part of their requests get fewer of them. */
    readonly detectsOutliers?: boolean;
    /** Whether streams are admitted by priority while capacity is short. */
    readonly admitsByPriority?: boolean;
}

/** Adapters that a platform provides. */
export interface PlatformPorts {
    readonly protocol: RelayProtocol;
    readonly storeEra: StoreEra;
    readonly configuration: (log: EventLog) => ConfigurationTopic;
    readonly targets: (log: EventLog) => TargetTopic;
    readonly partitions: PartitionGroup;
    readonly engines: (log: EventLog) => EngineControl;
    readonly presence: (log: EventLog) => PresenceTopic;
}
