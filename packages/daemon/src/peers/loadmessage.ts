/** Message that daemons send each other as a datagram. */
import type { LoadTracker } from "@damaskvale/core";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { quarantineSchema } from "./quarantinemessage.js";

/** Suspicion that the head of one group has failed. It does not apply to other groups of the same host. */
export interface HeadSuspicion {
    readonly head: string;
    readonly group: string;
}

/** Fields of what a process of a target states, with its age on sending. */
const statementFields = {
    target: z.string(),
    startedAt: z.number().optional(),
    ageMilliseconds: z.number().nonnegative(),
};

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
    /** Absent in messages of daemons of earlier versions. */
    limits: z.array(z.object({
        ...statementFields,
        requestsPerSecond: z.number().nonnegative().optional(),
    })).default([]),
    /** Targets that said that they leave. Absent in messages of daemons of earlier versions. */
    leaving: z.array(z.object(statementFields)).default([]),
    /** Whether the daemon takes requests of daemons that reach no target; those of earlier versions do not. */
    takesRequests: z.boolean().default(false),
    /** Absent in messages of daemons of earlier versions, and if there is nothing to report. */
    quarantine: quarantineSchema.optional(),
});

/** Message of one daemon. It supersedes the previous one of the same daemon. */
export type LoadMessage = z.infer<typeof messageSchema>;

/** A decoded message, or why it cannot be decoded. */
export type DecodedLoadMessage =
    | { readonly kind: "message"; readonly message: LoadMessage; }
    | { readonly kind: "malformed"; readonly reason: string; };

/** Encodes a message. */
export function encodeLoadMessage(message: LoadMessage): Buffer {
    return pack(message);
}

/** Decodes a message. */
export function decodeLoadMessage(bytes: Buffer): DecodedLoadMessage {
    const parsed = messageSchema.safeParse(safeUnpack(bytes));
    return parsed.success
        ? { kind: "message", message: parsed.data }
        : { kind: "malformed", reason: parsed.error.message };
}

/** Returns the requests in progress and the unread prompt tokens of each target that has any. */
export function describeLoads(loadTracker: LoadTracker): LoadMessage["loads"] {
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
