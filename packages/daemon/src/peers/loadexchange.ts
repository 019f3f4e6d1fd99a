/**
 * Exchange of loads and suspicions between daemons over UDP. Each message supersedes the previous one, so messages need
 * neither retransmission nor ordering, and there is no connection that could go dead unnoticed.
 */
import type { LeavingStatement, LoadTracker, PeerLoads, QuarantineReport, StatedLimit } from "@damaskvale/core";
import { createSocket, type Socket } from "node:dgram";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import { broadcastRounds } from "../relay/pace.js";
import type { ReportedMembership } from "../relay/state.js";
import type { DaemonList } from "./daemonlist.js";
import {
    decodeLoadMessage,
    describeLoads,
    encodeLoadMessage,
    type HeadSuspicion,
    type LoadMessage,
} from "./loadmessage.js";
import { decodeQuarantine, encodeQuarantine } from "./quarantinemessage.js";

/** Collaborators of the exchange. */
export interface LoadExchangeParts {
    readonly clock: Clock;
    readonly log: EventLog;
    readonly self: DaemonPresence;
    readonly daemons: DaemonList;
    /** UDP port on which every daemon receives. */
    readonly port: number;
    readonly loadTracker: LoadTracker;
    readonly peerLoads: PeerLoads;
    /** Called when another daemon suspects the head of a group. */
    readonly onSuspicion: (suspicion: HeadSuspicion, daemon: string) => void;
    /** Called when another daemon learned a membership from the engine itself. */
    readonly onMembership: (reported: ReportedMembership) => void;
    /** Statements of targets about their request rate that this daemon knows. */
    readonly limits: () => readonly StatedLimit[];
    /** Called with each statement that another daemon knows; its time is of this daemon's monotonic clock. */
    readonly onLimit: (limit: StatedLimit) => void;
    /** Statements of targets that they leave, as far as this daemon knows. */
    readonly leaving: () => readonly LeavingStatement[];
    /** Called with each such statement that another daemon knows; its time is of this daemon's monotonic clock. */
    readonly onLeaving: (statement: LeavingStatement, daemon: string) => void;
    /** What this daemon knows about prompt parts on which targets crash. */
    readonly quarantine: () => QuarantineReport;
    /** Whether crashes or decisions about parts are so new that every message should contain them. */
    readonly hasQuarantineUpdates: () => boolean;
    /** Called with what another daemon knows; its times are of this daemon's monotonic clock. */
    readonly onQuarantine: (report: QuarantineReport, daemon: string) => void;
    /** Whether this daemon takes requests of daemons that reach no target. */
    readonly takesRequests: () => boolean;
    /** Called with whether another daemon does. */
    readonly onTakesRequests: (daemon: string, takesRequests: boolean) => void;
    /** Version of the configuration in force on this daemon, 0 if there is none. */
    readonly configurationVersion: () => number;
    /** Whether this daemon announces a configuration that has come into force to all others at once. */
    readonly announcesConfiguration: () => boolean;
    /** Called when another daemon has a newer configuration in force. */
    readonly onNewerConfiguration: () => void;
}

/** A running exchange. */
export interface LoadExchange {
    /** Immediately reports to all daemons that a head makes no progress. */
    suspect(suspicion: HeadSuspicion): void;
    /** Immediately sends all daemons a membership that an engine reported. */
    broadcastMembership(reported: ReportedMembership): void;
    /** Immediately sends all daemons what this one knows of limits, leaving targets and quarantined parts. */
    broadcastKnowledge(): void;
    stop(): void;
}

const BROADCAST_INTERVAL_MILLISECONDS = 150;
/** Interval of messages without changes, which show the other daemons that this one is alive. */
const IDLE_BROADCAST_INTERVAL_MILLISECONDS = 900;
/**
 * Interval at which older facts about prompt parts are sent again, for daemons that missed them. They are often larger
 * than the loads and rarely needed.
 */
const QUARANTINE_INTERVAL_MILLISECONDS = 900;

/** Starts the exchange. */
export function startLoadExchange(parts: LoadExchangeParts): LoadExchange {
    const { clock, log, self, daemons } = parts;
    const socket: Socket = createSocket("udp4");
    let round = 0;
    let lastSentLoads = "";
    let lastBroadcastAt = Number.NEGATIVE_INFINITY;
    let quarantineSentAt = Number.NEGATIVE_INFINITY;
    let announcedVersion = 0;

    const send = (message: LoadMessage, receivers: readonly DaemonPresence[]): void => {
        const bytes = encodeLoadMessage(message);
        receivers.forEach(peer => socket.send(bytes, parts.port, peer.ip));
    };
    const broadcast = (): void => {
        round += 1;
        const message = createMessage(parts, {});
        const text = JSON.stringify(message.loads);
        const now = clock.monotonic();
        const hasUpdates = parts.hasQuarantineUpdates();
        const isNewVersion = message.configurationVersion > announcedVersion && parts.announcesConfiguration();
        if (
            !hasUpdates && !isNewVersion && text === lastSentLoads
            && now - lastBroadcastAt < IDLE_BROADCAST_INTERVAL_MILLISECONDS
        ) {
            return;
        }
        const isLocal = (peer: DaemonPresence): boolean => peer.dataCentre === self.dataCentre;
        const { local: localRounds, remote: remoteRounds } = broadcastRounds(daemons.count());
        const peers = daemons.others();
        const includesRemote = isNewVersion || round % remoteRounds === 0;
        if (includesRemote) {
            lastSentLoads = text;
            lastBroadcastAt = now;
            announcedVersion = message.configurationVersion;
        }
        if (includesRemote || round % localRounds === 0) {
            const sendsQuarantine = hasUpdates
                || includesRemote && now - quarantineSentAt >= QUARANTINE_INTERVAL_MILLISECONDS;
            if (sendsQuarantine && includesRemote) {
                quarantineSentAt = now;
            }
            send(
                sendsQuarantine ? addQuarantine(parts, message) : message,
                includesRemote ? peers : peers.filter(isLocal),
            );
        }
    };
    const receive = (bytes: Buffer): void => {
        const decoded = decodeLoadMessage(bytes);
        if (decoded.kind === "malformed") {
            log.emit("peerMessageRefused", { reason: decoded.reason });
            return;
        }
        applyMessage(parts, decoded.message);
    };

    socket.on("message", receive);
    socket.on("error", error => log.emit("taskFailed", { task: "load exchange", error }));
    socket.bind(parts.port, self.ip);
    const timer = setInterval(broadcast, BROADCAST_INTERVAL_MILLISECONDS);
    return {
        suspect: suspicion => send(createMessage(parts, { suspects: [suspicion] }), daemons.others()),
        broadcastMembership: reported => send(createMessage(parts, { memberships: [reported] }), daemons.others()),
        broadcastKnowledge: () => send(addQuarantine(parts, createMessage(parts, {})), daemons.others()),
        stop: () => {
            clearInterval(timer);
            socket.close();
        },
    };
}

function createMessage(
    { clock, self, loadTracker, configurationVersion, limits, leaving, takesRequests }: LoadExchangeParts,
    updates: Partial<Pick<LoadMessage, "suspects" | "memberships">>,
): LoadMessage {
    const now = clock.monotonic();
    return {
        daemon: self.daemon,
        configurationVersion: configurationVersion(),
        loads: describeLoads(loadTracker),
        suspects: [],
        memberships: [],
        limits: limits().map(limit => withAge(limit, now)),
        leaving: leaving().map(statement => withAge(statement, now)),
        takesRequests: takesRequests(),
        ...updates,
    };
}

/** Replaces the time of a statement by its age, because the clocks of daemons differ. */
function withAge<Statement extends LeavingStatement>(
    { statedAt, ...statement }: Statement,
    now: number,
): Omit<Statement, "statedAt"> & { readonly ageMilliseconds: number; } {
    return { ...statement, ageMilliseconds: Math.max(0, now - statedAt) };
}

function addQuarantine({ clock, quarantine }: LoadExchangeParts, message: LoadMessage): LoadMessage {
    return { ...message, quarantine: encodeQuarantine(quarantine(), clock.monotonic()) };
}

function applyMessage(parts: LoadExchangeParts, message: LoadMessage): void {
    const { daemon, configurationVersion, suspects, memberships } = message;
    const now = parts.clock.monotonic();
    const loads = message.loads.map(([target, inProgress, pendingPromptTokens]) => ({
        target,
        inProgress,
        pendingPromptTokens,
    }));
    parts.peerLoads.update(daemon, loads, now);
    parts.onTakesRequests(daemon, message.takesRequests);
    message.limits.forEach(({ ageMilliseconds, ...limit }) =>
        parts.onLimit({ ...limit, statedAt: now - ageMilliseconds })
    );
    message.leaving.forEach(({ ageMilliseconds, ...process }) =>
        parts.onLeaving({ ...process, statedAt: now - ageMilliseconds }, daemon)
    );
    if (message.quarantine !== undefined) {
        parts.onQuarantine(decodeQuarantine(message.quarantine, now), daemon);
    }
    suspects.forEach(suspicion => parts.onSuspicion(suspicion, daemon));
    memberships.forEach(parts.onMembership);
    if (configurationVersion > parts.configurationVersion()) {
        parts.onNewerConfiguration();
    }
}
