/** Port to claims of not repeatable requests. */
import type { Outcome } from "@damaskvale/core";

/** Identity of a not repeatable request. Hashes are SHA-256 in hex. */
export interface ClaimRequest {
    readonly team: string;
    readonly keyHash: string;
    readonly bodyHash: string;
    /** Monotonic time after which the request must not be dispatched, in milliseconds. */
    readonly deadlineAt: number;
}

/** Answer of an earlier run of the same key. */
export interface RecordedResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/** What came of a claim. Only `held` permits dispatch. */
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

/** Claims as the dispatcher uses them. */
export interface Claims {
    claim(request: ClaimRequest): Promise<ClaimResult>;
    /** Gives the key back. Call only if nothing was and nothing will be dispatched under the claim. */
    release(claim: string): void;
    /** Records the outcome of a dispatched claim, with the answer for repeats if there is one. */
    record(claim: string, outcome: Outcome, status: number, answer?: RecordedResponse): void;
}
