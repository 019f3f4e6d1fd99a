/** Port to the claims on requests that are not repeatable. */
import type { Outcome } from "@damaskvale/core";

/** Identity of a request that is not repeatable. Hashes are SHA-256 in hex. */
export interface ClaimRequest {
    readonly team: string;
    readonly keyHash: string;
    readonly bodyHash: string;
    /** Monotonic time after which the request must not be dispatched, in milliseconds. */
    readonly deadlineAt: number;
}

/** Recorded response of an earlier request with the same idempotency key. */
export interface RecordedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** Result of a claim. Only `held` permits dispatch. */
export type ClaimResult =
    | { readonly kind: "held"; readonly claim: string; }
    | { readonly kind: "in-progress"; readonly owner: string; readonly claimedAt: number; }
    | {
        readonly kind: "completed";
        readonly outcome: Outcome;
        readonly status: number;
        readonly answer?: RecordedResponse;
    }
    | { readonly kind: "mismatch"; }
    | { readonly kind: "unavailable"; readonly retryAfterMilliseconds: number; };

/** Claims, as used by the dispatcher. */
export interface Claims {
    claim(request: ClaimRequest): Promise<ClaimResult>;
    /** Releases the key. Call this only if nothing has been and nothing will be dispatched under the claim. */
    release(claim: string): void;
    /** Records the outcome of a dispatched claim, with the response to replay on retries, if there is one. */
    record(claim: string, outcome: Outcome, status: number, answer?: RecordedResponse): void;
}
