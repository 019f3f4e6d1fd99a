/** Rows of the operators' table, with one schema per kind of row. */
import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/, "must be a lower-case name");
const nameOrAny = z.union([z.literal("*"), name]);
const names = z.array(name).default([]);
const weight = z.number().min(0).max(1000).default(1);
const rate = z.number().positive().optional();
const count = z.number().int().positive();

/** Schema of a model: hosts per replica (`members`), number of replicas, and the weights that planning uses. */
export const modelRowSchema = z.object({
    kind: z.literal("model"),
    name,
    version: z.string().min(1).max(64),
    members: count.max(64),
    replicas: z.number().int().min(0).max(1000),
    dataCentres: names,
    spares: z.number().int().min(0).default(0),
    downtimeWeight: weight,
    strandedWeight: weight,
});

/** Schema of a team: its API keys (SHA-256, hex), what it may use, and its limits. An absent limit means unlimited. */
export const teamRowSchema = z.object({
    kind: z.literal("team"),
    name,
    keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in hex")).default([]),
    models: z.array(nameOrAny).default([]),
    services: z.array(nameOrAny).default([]),
    weight,
    requestsPerSecond: rate,
    tokensPerSecond: rate,
    concurrency: count.optional(),
    queueLength: z.number().int().min(0).default(100),
});

/** Schema of a target: a host or a service, identified by name. */
export const targetRowSchema = z.object({
    kind: z.literal("target"),
    name,
    weight,
    concurrency: count.optional(),
    state: z.enum(["active", "draining"]).default("active"),
    fencing: z.enum(["enforced", "ignored"]).default("ignored"),
});

/** Schema of a rule for a combination of model, team and target. The most specific rule applies. */
export const ruleRowSchema = z.object({
    kind: z.literal("rule"),
    name,
    model: nameOrAny.default("*"),
    team: nameOrAny.default("*"),
    target: nameOrAny.default("*"),
    weight,
    requestsPerSecond: rate,
    concurrency: count.optional(),
});

/** Schema of a plain HTTP service that the system routes to. */
export const serviceRowSchema = z.object({
    kind: z.literal("service"),
    name,
    urls: z.array(z.url()).min(1),
    dataCentre: name.optional(),
    concurrency: count.optional(),
    timeoutMilliseconds: count.max(600_000).default(30_000),
});

/** Schema of a call of a service: whether requests with this method and path prefix may be retried. */
export const callRowSchema = z.object({
    kind: z.literal("call"),
    name,
    service: name,
    method: z.enum(["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]).default("*"),
    path: z.string().startsWith("/").default("/"),
    repeatable: z.enum(["yes", "no"]),
});

/** Schema of any row. */
export const rowSchema = z.discriminatedUnion("kind", [
    modelRowSchema,
    teamRowSchema,
    targetRowSchema,
    ruleRowSchema,
    serviceRowSchema,
    callRowSchema,
]);

/** Any row of the table. */
export type Row = z.infer<typeof rowSchema>;
/** Kind of a row. */
export type RowKind = Row["kind"];
/** Row of one kind. */
export type RowOf<Kind extends RowKind> = Extract<Row, { kind: Kind; }>;
/** Key of a row: `KIND:NAME`. */
export type RowKey = string;

/** Returns the key of a row. */
export function rowKey(row: Pick<Row, "kind" | "name">): RowKey {
    return `${row.kind}:${row.name}`;
}
