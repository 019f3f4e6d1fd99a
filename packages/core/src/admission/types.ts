/** Types of admission. Times are monotonic milliseconds of the daemon that admits. */

/** Limits of one team at this daemon: its share of the table's limits. Absent means unlimited. */
export interface TeamShare {
    readonly team: string;
    readonly weight: number;
    readonly requestsPerSecond?: number;
    readonly tokensPerSecond?: number;
    readonly concurrency?: number;
    readonly queueLength: number;
}

/** A request that asks for admission. */
export interface AdmissionRequest {
    readonly id: string;
    readonly team: string;
    /** 0 to 9, higher first. */
    readonly priority: number;
    /** Estimated cost in tokens. */
    readonly tokens: number;
    /** When the request must have its answer. */
    readonly deadlineAt: number;
}

/** Answer of admission: run now, wait in the queue, or refused with the time to come back. */
export type AdmissionDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "queued"; readonly position: number; }
    | {
        readonly kind: "refused";
        readonly code: "rate_limited" | "queue_full" | "deadline_exceeded";
        readonly retryAfterMilliseconds: number;
    };

/**
 * Admission of one daemon: rate limits, concurrency and a weighted fair queue between teams with priorities inside
 * a team. Construct with `createAdmission(options)` from `admission/admission.ts`. Pure apart from its own state.
 */
export interface Admission {
    /** Replaces the shares of all teams. */
    configure(shares: readonly TeamShare[], now: number): void;
    /** Maximum requests in progress of the whole daemon, from the capacity of the dispatchable targets. */
    setCapacity(capacity: number, now: number): void;
    offer(request: AdmissionRequest, now: number): AdmissionDecision;
    /** Ends a request that was admitted, with the tokens that it really used. */
    finish(id: string, tokens: number, now: number): void;
    /** Removes a queued request, because the caller went away. */
    cancel(id: string): void;
    /** Requests that leave the queue now: admitted ones, and ones given up with the time to come back. */
    poll(now: number): {
        readonly admitted: readonly string[];
        readonly refused: readonly { readonly id: string; readonly decision: AdmissionDecision; }[];
    };
    /** Demand of each team since the last call in requests a second, for sharing limits between daemons. */
    demand(now: number): ReadonlyMap<string, number>;
}
