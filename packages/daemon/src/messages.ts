/** Messages between daemons, encoded as msgpack and sent over WebSocket. Each kind has its own schema. */
import { entrySchema, outcomeSchema, reportSchema } from "@damaskvale/core";
import { z } from "zod";

/** Version of the protocol between daemons; a link to a daemon with another version is closed. */
export const PEER_PROTOCOL = 1;

/** Schema of the membership entry of a daemon. */
export const memberSchema = z.object({
    daemon: z.string().min(1),
    dataCentre: z.string().min(1),
    address: z.string().min(1),
    incarnation: z.string().min(1),
    /** Raised by a daemon to refute a suspicion about itself. */
    revision: z.number().int().nonnegative(),
    state: z.enum(["alive", "suspect", "dead", "left"]),
});

/** Schema of an observation of a host, with its age when the message was sent, in milliseconds. */
export const sharedObservationSchema = z.object({ report: reportSchema, ageMilliseconds: z.number().nonnegative() });

/** Schema of the demand of a daemon that another daemon relays, with its age in milliseconds when the message was sent. */
export const relayedDemandSchema = z.object({
    daemon: z.string().min(1),
    demand: z.record(z.string(), z.number().nonnegative()),
    ageMilliseconds: z.number().nonnegative(),
});

const request = z.string().min(1);
const gossip = {
    sequence: z.number().int().nonnegative(),
    /** Monotonic time at the sender of the probe, echoed in the acknowledgement. */
    sentAt: z.number(),
    members: z.array(memberSchema).max(1024),
    /** Next offset of each stream that the sender follows. */
    offsets: z.record(z.string(), z.number().int().nonnegative()),
    /** Requests per second by team that the sender received. */
    demand: z.record(z.string(), z.number().nonnegative()),
    /** Demand of other daemons in the sender's data centre; only sent to other data centres. */
    relayed: z.array(relayedDemandSchema).max(256).optional(),
    /** Models with dispatchable groups in the sender's data centre. */
    models: z.array(z.string()).max(256).optional(),
};

/** Schema of every message between daemons. */
export const peerMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("hello"),
        protocol: z.number().int(),
        daemon: z.string().min(1),
        dataCentre: z.string().min(1),
        incarnation: z.string().min(1),
    }),
    z.object({ kind: z.literal("probe"), ...gossip }),
    z.object({ kind: z.literal("acknowledge"), ...gossip, observations: z.array(sharedObservationSchema).max(4096) }),
    z.object({ kind: z.literal("fetchEntries"), request, stream: z.string(), from: z.number().int().nonnegative() }),
    z.object({ kind: z.literal("entries"), request, stream: z.string(), entries: z.array(entrySchema) }),
    z.object({ kind: z.literal("fetchState"), request, stream: z.string() }),
    z.object({ kind: z.literal("state"), request, stream: z.string(), snapshot: z.unknown().optional() }),
    z.object({ kind: z.literal("fetchAnswer"), request, team: z.string(), keyHash: z.string() }),
    z.object({
        kind: z.literal("answer"),
        request,
        found: z.boolean(),
        status: z.number().int().optional(),
        headers: z.record(z.string(), z.string()).optional(),
        body: z.instanceof(Uint8Array).optional(),
        outcome: outcomeSchema.optional(),
    }),
    z.object({ kind: z.literal("fetchExplanation"), request, requestId: z.string() }),
    z.object({ kind: z.literal("explanation"), request, explanation: z.unknown().optional() }),
    z.object({
        kind: z.literal("fetchStatus"),
        request,
        /** Daemon whose status is requested, if not the receiver; the receiver fetches it over its own link. */
        daemon: z.string().optional(),
    }),
    z.object({ kind: z.literal("status"), request, status: z.unknown() }),
]);

/** Membership entry of a daemon. */
export type Member = z.infer<typeof memberSchema>;
/** Observation of a host shared between daemons. */
export type SharedObservation = z.infer<typeof sharedObservationSchema>;
/** Demand of a daemon that another daemon relays. */
export type RelayedDemand = z.infer<typeof relayedDemandSchema>;
/** Message between daemons. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;
/** Message of one kind. */
export type PeerMessageOf<Kind extends PeerMessage["kind"]> = Extract<PeerMessage, { kind: Kind; }>;
