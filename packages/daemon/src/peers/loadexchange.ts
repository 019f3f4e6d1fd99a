/**
 * Exchange of loads and suspicions between daemons over UDP. Each message supersedes the previous one, so messages need
 * neither retransmission nor ordering, and there is no connection that could go dead unnoticed.
 */
import type { LoadTracker, PeerLoads } from "@damaskvale/core";
import { pack, unpack } from "msgpackr";
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { DaemonPresence } from "../ports/presence.js";
import { broadcastRounds } from "../relay/pace.js";
import type { ReportedMembership } from "../relay/state.js";
import type { DaemonList } from "./daemonlist.js";

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
    /** Version of the configuration in force on this daemon, 0 if there is none. */
    readonly configurationVersion: () => number;
    /** Called when another daemon has a newer configuration in force. */
    readonly onNewerConfiguration: () => void;
}

/** Suspicion that the head of one group has failed. It does not apply to other groups of the same host. */
export interface HeadSuspicion {
    readonly head: string;
    readonly group: string;
}

/** A running exchange. */
export interface LoadExchange {
    /** Immediately tells all daemons that a head makes no progress. */
    suspect(suspicion: HeadSuspicion): void;
    /** Immediately sends all daemons a membership that an engine reported. */
    broadcastMembership(reported: ReportedMembership): void;
    stop(): void;
}

const messageSchema = z.object({
    daemon: z.string(),
    configurationVersion: z.number(),
    loads: z.array(z.tuple([z.string(), z.number(), z.number()])),
    suspects: z.array(z.object({ head: z.string(), group: z.string() })),
    memberships: z.array(z.object({
        host: z.string(),
        startedAt: z.number().optional(),
        model: z.string().optional(),
        membership: z.object({
            group: z.string(),
            epoch: z.number(),
            rank: z.number(),
            state: z.enum(["joining", "ready", "open", "closing", "broken"]),
        }).optional(),
    })),
});

type LoadMessage = z.infer<typeof messageSchema>;

const BROADCAST_INTERVAL_MILLISECONDS = 150;
/** Interval of messages without changes, which show the other daemons that this one is alive. */
const IDLE_BROADCAST_INTERVAL_MILLISECONDS = 900;

/** Starts the exchange. */
export function startLoadExchange(parts: LoadExchangeParts): LoadExchange {
    const { clock, log, self, daemons, loadTracker, peerLoads } = parts;
    const socket: Socket = createSocket("udp4");
    let round = 0;
    let lastSentLoads = "";
    let lastBroadcastAt = Number.NEGATIVE_INFINITY;

    const send = (message: LoadMessage, receivers: readonly DaemonPresence[]): void => {
        const bytes = pack(message);
        receivers.forEach(peer => socket.send(bytes, parts.port, peer.ip));
    };
    const broadcast = (): void => {
        round += 1;
        const message = createMessage({});
        const text = JSON.stringify(message.loads);
        const now = clock.monotonic();
        if (text === lastSentLoads && now - lastBroadcastAt < IDLE_BROADCAST_INTERVAL_MILLISECONDS) {
            return;
        }
        const isLocal = (peer: DaemonPresence): boolean => peer.dataCentre === self.dataCentre;
        const { local: localRounds, remote: remoteRounds } = broadcastRounds(daemons.count());
        const peers = daemons.others();
        const includesRemote = round % remoteRounds === 0;
        if (includesRemote) {
            lastSentLoads = text;
            lastBroadcastAt = now;
        }
        if (includesRemote || round % localRounds === 0) {
            send(message, includesRemote ? peers : peers.filter(isLocal));
        }
    };
    const createMessage = (updates: Partial<Pick<LoadMessage, "suspects" | "memberships">>): LoadMessage => ({
        daemon: self.daemon,
        configurationVersion: parts.configurationVersion(),
        loads: describeLoads(loadTracker),
        suspects: [],
        memberships: [],
        ...updates,
    });
    const receive = (bytes: Buffer): void => {
        const parsed = messageSchema.safeParse(safeUnpack(bytes));
        if (!parsed.success) {
            log.emit("peerMessageRefused", { reason: parsed.error.message });
            return;
        }
        const { daemon, configurationVersion, loads, suspects, memberships } = parsed.data;
        const reported = loads.map(([target, inProgress, pendingPromptTokens]) => ({
            target,
            inProgress,
            pendingPromptTokens,
        }));
        peerLoads.update(daemon, reported, clock.monotonic());
        suspects.forEach(suspicion => parts.onSuspicion(suspicion, daemon));
        memberships.forEach(parts.onMembership);
        if (configurationVersion > parts.configurationVersion()) {
            parts.onNewerConfiguration();
        }
    };

    socket.on("message", receive);
    socket.on("error", error => log.emit("taskFailed", { task: "load exchange", error }));
    socket.bind(parts.port, self.ip);
    const timer = setInterval(broadcast, BROADCAST_INTERVAL_MILLISECONDS);
    return {
        suspect: suspicion => send(createMessage({ suspects: [suspicion] }), daemons.others()),
        broadcastMembership: reported => send(createMessage({ memberships: [reported] }), daemons.others()),
        stop: () => {
            clearInterval(timer);
            socket.close();
        },
    };
}

/** Returns the requests in progress and the unread prompt tokens of each target that has any. */
function describeLoads(loadTracker: LoadTracker): LoadMessage["loads"] {
    return loadTracker.targets().flatMap(target => {
        const load = loadTracker.get(target);
        return load === undefined || load.inProgress === 0
            ? []
            : [[target, load.inProgress, load.pendingPromptTokens] satisfies [string, number, number]];
    });
}

function safeUnpack(bytes: Buffer): unknown {
    try {
        return unpack(bytes);
    }
    catch {
        // The schema rejects the undefined value, so the failure is logged like that of any other invalid message.
        return undefined;
    }
}
