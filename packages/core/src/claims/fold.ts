/** Fold of a claims stream: the first claim of an idempotency key holds the key until it expires. */
import { createHash } from "node:crypto";
import { z } from "zod";
import { type Outcome, outcomeSchema } from "../outcome.js";
import type { FoldDefinition, RecordContext } from "../stream/types.js";
import { type ClaimsDraft, ClaimsState, claimsStateSchema, type HeldKey } from "./state.js";

/** How long a key is retained after its claim, measured by the platform's append time. */
export const CLAIM_LIFETIME_MILLISECONDS = 24 * 60 * 60 * 1000;
/** Number of claims streams. */
export const CLAIM_PARTITIONS = 4;
/** Maximum length of each list in one record. */
export const MAXIMUM_CLAIMS_PER_RECORD = 64;

const hash = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in hex");
const claimKey = { claim: z.string().min(1).max(200), team: z.string().min(1).max(63), keyHash: hash };
const batch = <Item extends z.ZodType>(item: Item) => z.array(item).max(MAXIMUM_CLAIMS_PER_RECORD).default([]);

/** Schema of the body of a claims record. */
export const claimsBodySchema = z.object({
    kind: z.literal("claims"),
    claims: batch(z.object({ ...claimKey, bodyHash: hash })),
    releases: batch(z.object(claimKey)),
    outcomes: batch(z.object({ ...claimKey, status: z.number().int(), outcome: outcomeSchema })),
});

/** Body of a claims record. Releases are applied first, then outcomes, then claims. */
export type ClaimsBody = z.infer<typeof claimsBodySchema>;

/** Query for the status of a claim, by its author or by another daemon that received a repeated request. */
export interface ClaimQuery {
    /** Id of the claim, unique across daemons and restarts. Absent if the query is not from the claim's author. */
    readonly claim?: string;
    readonly team: string;
    readonly keyHash: string;
    readonly bodyHash: string;
}

/** Status of a claim. `claimedAt` is the platform's append time in milliseconds. */
export type ClaimStatus =
    | { readonly kind: "held"; }
    | {
        readonly kind: "in-progress";
        readonly owner: string;
        readonly incarnation: string;
        readonly claimedAt: number;
    }
    | {
        readonly kind: "completed";
        readonly owner: string;
        readonly incarnation: string;
        readonly outcome: Outcome;
        readonly status: number;
    }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "absent"; };

/** Fold of a claims stream. */
export const claimsFold: FoldDefinition<ClaimsState, ClaimsBody> = {
    name: "claims",
    body: claimsBodySchema,
    state: claimsStateSchema,
    initial: () => ClaimsState.empty,
    apply: (state, body, context) => ({
        kind: "accepted",
        state: state.update(context.time, CLAIM_LIFETIME_MILLISECONDS, draft => {
            applyBody(draft, body, context, Math.max(state.maximumTime, context.time));
        }),
    }),
};

/** Returns the status of a claim. Only `held` permits dispatch, and only to the author of the claim. */
export function evaluateClaim(state: ClaimsState, { claim, team, keyHash, bodyHash }: ClaimQuery): ClaimStatus {
    const held = state.get(team, keyHash);
    if (held === undefined) {
        return { kind: "absent" };
    }
    if (held.bodyHash !== bodyHash) {
        return { kind: "mismatch" };
    }
    const { daemon: owner, incarnation, claimedAt, outcome, status } = held;
    if (outcome !== undefined && status !== undefined) {
        return { kind: "completed", owner, incarnation, outcome, status };
    }
    return claim === held.claim ? { kind: "held" } : { kind: "in-progress", owner, incarnation, claimedAt };
}

/** Returns the partition (the number of the claims stream) that a key belongs to. */
export function claimPartition(team: string, keyHash: string, partitions = CLAIM_PARTITIONS): number {
    return createHash("sha256").update(`${team} ${keyHash}`).digest().readUInt32BE(0) % partitions;
}

/** Returns the name of the claims stream of a partition. */
export function claimsStream(partition: number): string {
    return `claims.${partition}`;
}

function applyBody(draft: ClaimsDraft, body: ClaimsBody, context: RecordContext, claimedAt: number): void {
    body.releases.forEach(release => {
        const held = draft.get(release.team, release.keyHash);
        if (held !== undefined && isOpenAndOwned(held, release.claim, context)) {
            draft.remove(held);
        }
    });
    body.outcomes.forEach(({ claim, team, keyHash, status, outcome }) => {
        const held = draft.get(team, keyHash);
        if (held !== undefined && isOpenAndOwned(held, claim, context)) {
            draft.replace({ ...held, status, outcome });
        }
    });
    body.claims.forEach(({ claim, team, keyHash, bodyHash }) => {
        if (draft.get(team, keyHash) === undefined) {
            draft.add({ team, keyHash, bodyHash, claim, ...context.author, claimedAt });
        }
    });
}

/** Only the process that holds a claim may release it or record its outcome, and only while it has no outcome. */
function isOpenAndOwned(held: HeldKey, claim: string, { author }: RecordContext): boolean {
    return held.claim === claim && held.daemon === author.daemon && held.incarnation === author.incarnation
        && held.outcome === undefined;
}
