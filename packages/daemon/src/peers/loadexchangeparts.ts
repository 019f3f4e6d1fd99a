/** The exchange between daemons as the rest of the daemon sees it, and its collaborators. */
import type { LoadTracker, StatedLoads, Target } from "@damaskvale/core";
import type { SharedFailures } from "../outliers/sharedfailures.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import type { OperatorRecord, TopicRange } from "../ports/registry.js";
import type { ReportedMembership } from "../relay/statetypes.js";
import type { ConfigurationRangeMessage } from "./configurationmessage.js";
import type { DaemonList } from "./daemonlist.js";
import type { HeadSuspicion } from "./exchangemessage.js";
import type { KnowledgeParts } from "./knowledge.js";
import type { Roster } from "./roster.js";
import type { SharedSpeeds } from "./sharedspeeds.js";

/** Collaborators of the exchange. */
export interface LoadExchangeParts extends KnowledgeParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: DaemonPresence;
    /** Start of this process in Unix milliseconds. */
    readonly startedAt: number;
    readonly daemons: DaemonList;
    /** UDP port on which every daemon receives. */
    readonly port: number;
    readonly loadTracker: LoadTracker;
    /** Learns the sums that collectors state. */
    readonly statedLoads: StatedLoads;
    /** Learns which daemons run. */
    readonly roster: Roster;
    /** Shares what daemons observe of the speed of targets. */
    readonly speeds: SharedSpeeds;
    /** Shares what daemons observe of failures of targets. */
    readonly failures: SharedFailures;
    /** Called when another daemon suspects the head of a group. */
    readonly onSuspicion: (suspicion: HeadSuspicion, daemon: string) => void;
    /** Called with registry changes that a collector read. */
    readonly onTargets: (range: TopicRange<Target>) => void;
    /** Called with versions of the configuration that the collector read, before they are decoded. */
    readonly onConfiguration: (range: ConfigurationRangeMessage) => void;
    /** Called when another daemon learned a membership from the engine itself. */
    readonly onMembership: (reported: ReportedMembership) => void;
    /**
     * Called when this daemon hears the collector to which it reports, which lets it know of what changes. The age is how
     * long ago the store confirmed the collector's configuration, if it did and the collector states it.
     */
    readonly onCollectorHeard: (configurationAgeMilliseconds: number | undefined) => void;
    /** How long ago the store confirmed the configuration that this daemon knows; `undefined` if it never did. */
    readonly configurationAgeMilliseconds: () => number | undefined;
    /** Called with the daemons that a collector names and that are not known. */
    readonly onUnknownDaemons: (names: readonly string[]) => void;
    /** Whether this daemon announces a configuration that has come into force to all others at once. */
    readonly announcesConfiguration: () => boolean;
}

/** A running exchange. */
export interface LoadExchange {
    /** Reports to all daemons at once that a head makes no progress. */
    suspect(suspicion: HeadSuspicion): void;
    /** Sends all daemons at once a membership that an engine reported. */
    broadcastMembership(reported: ReportedMembership): void;
    /** Sends all daemons at once what this one knows of limits and leaving targets. */
    broadcastKnowledge(): void;
    /**
     * Sends all daemons of a small fleet at once what is new about quarantined parts. In a larger one it goes to the
     * collectors with the next report, because the events of all daemons would take the processors of the others.
     */
    broadcastQuarantine(): void;
    /** Passes registry changes that this daemon read on to those that report to it, if it is a collector. */
    passOnTargets(range: TopicRange<Target>): void;
    /** Passes versions of the configuration on to those that report to this daemon, if it is the first collector. */
    passOnConfiguration(range: TopicRange<OperatorRecord>): void;
    /** Place of this daemon among the collectors of its data centre, from 0; `undefined` if it is none. */
    collectorRank(): number | undefined;
    stop(): void;
}
