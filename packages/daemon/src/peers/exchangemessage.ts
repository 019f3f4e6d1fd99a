/** Messages that daemons send each other as datagrams. Ages travel, not times, because the clocks of daemons differ. */
import type { LoadTracker, ReportedLoad, ReportIdentity } from "@damaskvale/core";
import { pack, unpack } from "msgpackr";
import { z } from "zod";
import { failuresSchema } from "../outliers/sharedfailures.js";
import { configurationRangeSchema } from "./configurationmessage.js";
import { quarantineSchema } from "./quarantinemessage.js";
import { slowTargetsSchema, speedsSchema } from "./sharedspeeds.js";
import { membershipSchema, targetRangeSchema } from "./targetpages.js";

/** Largest payload of a UDP datagram. */
const MAXIMUM_DATAGRAM_BYTES = 65_507;

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

/** Data centre, whether it is evacuated, era of the store, offset. */
const evacuationsSchema = z.array(z.tuple([z.string(), z.boolean(), z.number(), z.number()]));

/** What most messages contain: the sender, and what it knows from any source. */
const commonFields = {
    daemon: z.string(),
    /** Newest version that the daemon knows of. One that cannot read it still lets others know of it. */
    configurationVersion: z.number(),
    /** Whether the daemon takes requests of daemons that reach no target. */
    takesRequests: z.boolean().default(false),
    /** Absent in messages of daemons of earlier versions. */
    limits: z.array(z.object({
        ...statementFields,
        requestsPerSecond: z.number().nonnegative().optional(),
    })).default([]),
    /** Targets that said that they leave. Absent in messages of daemons of earlier versions. */
    leaving: z.array(z.object(statementFields)).default([]),
    /** Absent if there is nothing to report. */
    quarantine: quarantineSchema.optional(),
    /** Evacuations of data centres. Absent if none is known, and in messages of daemons of earlier versions. */
    evacuations: evacuationsSchema.optional(),
};

const countSchema = z.number().nonnegative();
/** Target, requests in progress, prompt tokens that wait. */
const loadsSchema = z.array(z.tuple([z.string(), countSchema, countSchema]));
/** Daemon, start of its process, sequence number of its report, and whether it takes requests of other daemons. */
const membersSchema = z.array(z.tuple([z.string(), z.number(), z.number(), z.boolean()]));

const reportSchema = z.object({
    kind: z.literal("report"),
    ...commonFields,
    startedAt: z.number(),
    sequence: z.number(),
    loads: loadsSchema,
    /** What the daemon observed of the speed of targets. Absent in messages of daemons of earlier versions. */
    speeds: speedsSchema.default([]),
    /** What the daemon observed of failures of plain targets. Absent where outliers are not detected, as below. */
    failures: failuresSchema.optional(),
});

const statementSchema = z.object({
    kind: z.literal("statement"),
    ...commonFields,
    /** Sums over all data centres. */
    sums: loadsSchema,
    /** Daemons of the collector's data centre whose reports are included. */
    members: membersSchema,
    ageMilliseconds: z.number().nonnegative(),
    /** Daemons of all data centres with whether they take requests; absent in most messages. */
    roster: z.array(z.tuple([z.string(), z.boolean()])).optional(),
    /**
     * How long ago the store confirmed that the collector knew the newest configuration. Absent if it never did, and in
     * messages of daemons of earlier versions.
     */
    configurationAgeMilliseconds: countSchema.optional(),
    /** Absent in messages of daemons of earlier versions. */
    slowTargets: slowTargetsSchema.default([]),
    /** Sums over all data centres, for targets with failures. */
    failures: failuresSchema.optional(),
});

const dataCentreSchema = z.object({
    kind: z.literal("dataCentre"),
    ...commonFields,
    dataCentre: z.string(),
    /** Sums over this data centre. */
    sums: loadsSchema,
    members: membersSchema,
    /** What this data centre observed of its slow targets. Absent in messages of daemons of earlier versions. */
    speeds: speedsSchema.default([]),
    /** Sums over this data centre. */
    failures: failuresSchema.optional(),
});

const eventSchema = z.object({
    kind: z.literal("event"),
    ...commonFields,
    suspects: z.array(z.object({ head: z.string(), group: z.string() })),
    memberships: z.array(z.object({
        host: z.string(),
        startedAt: z.number().optional(),
        model: z.string().optional(),
        membership: membershipSchema.optional(),
        /** Absent in messages of daemons of earlier versions. */
        leftEpoch: z.number().optional(),
    })),
});

const targetsSchema = z.object({
    kind: z.literal("targets"),
    daemon: z.string(),
    range: targetRangeSchema,
});

const configurationSchema = z.object({
    kind: z.literal("configuration"),
    daemon: z.string(),
    range: configurationRangeSchema,
});

const kindsSchema = z.discriminatedUnion("kind", [
    reportSchema,
    statementSchema,
    dataCentreSchema,
    eventSchema,
    targetsSchema,
    configurationSchema,
]);

/** Daemons of earlier versions send messages without a kind, which contain the fields of an event. */
function addKind(message: unknown): unknown {
    return message instanceof Object && !("kind" in message)
        ? { kind: "event", ...message }
        : message;
}

const messageSchema = z.preprocess(addKind, kindsSchema);

/** Report of a daemon to the collectors of its data centre. */
export type ReportMessage = z.infer<typeof reportSchema>;
/** Statement of a collector to the daemons that report to it. */
export type StatementMessage = z.infer<typeof statementSchema>;
/** Statement of the first collector of a data centre to the collectors of the others. */
export type DataCentreMessage = z.infer<typeof dataCentreSchema>;
/** What a daemon tells all others at once. */
export type EventMessage = z.infer<typeof eventSchema>;
/** Registry changes that a collector read. */
export type TargetsMessage = z.infer<typeof targetsSchema>;
/** Versions of the configuration that a collector read. */
export type ConfigurationMessage = z.infer<typeof configurationSchema>;
/** Message of one daemon. */
export type ExchangeMessage = z.infer<typeof messageSchema>;
/** Messages that contain what the sender knows. */
export type KnowledgeMessage = Exclude<ExchangeMessage, TargetsMessage | ConfigurationMessage>;
/** Fields of all messages except those with what a collector read. */
export type CommonFields = Pick<ReportMessage, keyof typeof commonFields>;
/** Member of a data centre, as a collector states it. */
export type StatedMember = DataCentreMessage["members"][number];

/** A decoded message, or why it cannot be decoded. */
export type DecodedExchangeMessage =
    | { readonly kind: "message"; readonly message: ExchangeMessage; }
    | { readonly kind: "malformed"; readonly reason: string; };

/** Encodes a message. */
export function encodeExchangeMessage(message: ExchangeMessage): Buffer {
    return pack(message);
}

/**
 * Encodes a message for one datagram. If it does not fit with the quarantined parts, which events tell as well, it is encoded
 * without them.
 */
export function encodeDatagram(message: ExchangeMessage): Buffer {
    const bytes = encodeExchangeMessage(message);
    return bytes.length <= MAXIMUM_DATAGRAM_BYTES || !hasKnowledge(message)
        ? bytes
        : encodeExchangeMessage({ ...message, quarantine: undefined });
}

/** Returns whether a message contains what its sender knows, as opposed to what it read as a collector. */
export function hasKnowledge(message: ExchangeMessage): message is KnowledgeMessage {
    return message.kind !== "targets" && message.kind !== "configuration";
}

/** Decodes a message. */
export function decodeExchangeMessage(bytes: Buffer): DecodedExchangeMessage {
    const parsed = messageSchema.safeParse(safeUnpack(bytes));
    return parsed.success
        ? { kind: "message", message: parsed.data }
        : { kind: "malformed", reason: parsed.error.message };
}

/** Returns the requests in progress and the unread prompt tokens of each target that has any. */
export function describeLoads(loadTracker: LoadTracker): ReportedLoad[] {
    return loadTracker.targets().flatMap(target => {
        const load = loadTracker.get(target);
        return load === undefined || load.inProgress === 0
            ? []
            : [{ target, inProgress: load.inProgress, pendingPromptTokens: load.pendingPromptTokens }];
    });
}

/** Encodes loads. */
export function encodeLoads(loads: readonly ReportedLoad[]): ReportMessage["loads"] {
    return loads.map(({ target, inProgress, pendingPromptTokens }) => [target, inProgress, pendingPromptTokens]);
}

/** Decodes loads. */
export function decodeLoads(loads: ReportMessage["loads"]): ReportedLoad[] {
    return loads.map(([target, inProgress, pendingPromptTokens]) => ({ target, inProgress, pendingPromptTokens }));
}

/** Decodes the reports that a statement includes. */
export function decodeMembers(members: readonly StatedMember[]): ReportIdentity[] {
    return members.map(([daemon, startedAt, sequence]) => ({ daemon, startedAt, sequence }));
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
