/** Types of admission control. Times are monotonic milliseconds of the admitting daemon. */

/** Limits of one team on this daemon: its share of the limits in the table. An absent limit means unlimited. */
export interface TeamShare {
    readonly team: string;
    readonly weight: number;
    readonly requestsPerSecond?: number;
    readonly tokensPerSecond?: number;
    readonly concurrency?: number;
    readonly queueLength: number;
}

/** A request to be admitted. */
export interface AdmissionRequest {
    readonly id: string;
    readonly team: string;
    /** From 0 to 9; a higher priority is served first. */
    readonly priority: number;
    /** Estimated cost in tokens. */
    readonly tokens: number;
    /** Time by which the response must be complete. */
    readonly deadlineAt: number;
}

/** Decision on a request: admitted, queued, or refused with a retry-after time. */
export type AdmissionDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "queued"; readonly position: number; }
    | {
        readonly kind: "refused";
        readonly code: "rate_limited" | "queue_full" | "deadline_exceeded";
        readonly retryAfterMilliseconds: number;
    };

/**
 * Admission control of one daemon: rate limits, concurrency limits and a weighted fair queue between teams, with
 * priorities within a team. Created by `createAdmission(options)` in `admission/admission.ts`. It has no side effects
 * outside its own state.
 */
export interface Admission {
    /** Replaces the shares of all teams. */
    configure(shares: readonly TeamShare[], now: number): void;
    /** Sets the daemon's maximum number of requests in progress, from the capacity of the dispatchable targets. */
    setCapacity(capacity: number, now: number): void;
    offer(request: AdmissionRequest, now: number): AdmissionDecision;
    /** Finishes an admitted request with the tokens that it actually used. */
    finish(id: string, tokens: number, now: number): void;
    /** Removes a queued request whose caller has disconnected. */
    cancel(id: string): void;
    /** Returns the requests that leave the queue now: admitted ones, and refused ones with a retry-after time. */
    poll(now: number): {
        readonly admitted: readonly string[];
        readonly refused: readonly { readonly id: string; readonly decision: AdmissionDecision; }[];
    };
    /** Returns the demand of each team since the last call in requests per second, to share limits between daemons. */
    demand(now: number): ReadonlyMap<string, number>;
}
