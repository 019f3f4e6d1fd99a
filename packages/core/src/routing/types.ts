/** Types of the choice of a target. Times are monotonic milliseconds of the daemon that chooses. */

/** A group or a service target that may be dispatched to. */
export interface Candidate {
    /** Group id, or target name of a plain service. */
    readonly target: string;
    /** Weight from the table, 0 or more; 0 gets no work. */
    readonly weight: number;
    /** Maximum requests in progress from the whole system, if limited. */
    readonly concurrency?: number;
    /** Last load report of the target, if any, and when it was true. */
    readonly load?: { readonly running: number; readonly queued: number; readonly reportedAt: number; };
    /** When this target became dispatchable. */
    readonly readySince: number;
}

/** What the router asks about one request. */
export interface RouteRequest {
    /** Hashes of the prompt's prefix blocks, longest prefix last. */
    readonly prefixes: readonly string[];
    /** 0 to 9, higher first. */
    readonly priority: number;
    /** Targets that this request has tried already. */
    readonly excluded: readonly string[];
}

/** Why a candidate has its score; kept for `explain`. Lower scores are better. */
export interface WeighedCandidate {
    readonly target: string;
    readonly score: number;
    readonly estimatedLoad: number;
    readonly prefixBlocks: number;
    readonly slowStart: number;
    readonly excludedBecause?: "tried" | "weight" | "concurrency" | "ejected";
}

/** Result of a choice. */
export interface RouteChoice {
    readonly target?: string;
    readonly weighed: readonly WeighedCandidate[];
}

/** What became of an attempt, as the router learns from it. */
export interface AttemptObservation {
    readonly target: string;
    readonly finishedAt: number;
    readonly result: "complete" | "failed" | "refused" | "cancelled";
    readonly firstTokenMilliseconds?: number;
}

/**
 * Router of one model or service. It keeps what was sent since the last report, prefix placement, and ejections.
 * Construct with `createRouter(options)` from `routing/router.ts`.
 */
export interface Router {
    choose(candidates: readonly Candidate[], request: RouteRequest, now: number): RouteChoice;
    sent(target: string, request: RouteRequest, now: number): void;
    finished(observation: AttemptObservation): void;
    /** Cache event of a target: prefix blocks that it stored or evicted. */
    cacheEvent(
        target: string,
        event: { readonly stored: readonly string[]; readonly evicted: readonly string[]; },
    ): void;
    /** Cache events of this target have a gap: nothing is known of its cache any more. */
    cacheGap(target: string): void;
}
