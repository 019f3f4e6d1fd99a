/** Types of the router. Times are monotonic milliseconds of the daemon that chooses. */

/** A group or a target of a service to which requests may be dispatched. */
export interface Candidate {
    /** Group id, or target name of a plain service. */
    readonly target: string;
    /** Weight from the table, 0 or more; a target with weight 0 gets no requests. */
    readonly weight: number;
    /** Maximum number of requests in progress from all daemons, if limited. */
    readonly concurrency?: number;
    /** Last load report of the target, if any, with the time at which it was taken. */
    readonly load?: { readonly running: number; readonly queued: number; readonly reportedAt: number; };
    /** When the target became dispatchable. */
    readonly readySince: number;
}

/** Properties of a request that determine its route. */
export interface RouteRequest {
    /** Hashes of the prompt's prefix blocks, longest prefix last. */
    readonly prefixes: readonly string[];
    /** Priority from 0 to 9; higher values are served first. */
    readonly priority: number;
    /** Targets that this request has already tried. */
    readonly excluded: readonly string[];
}

/** Score of a candidate and its reasons, recorded for `explain`. Lower scores are better. */
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

/** Result of an attempt, from which the router updates its state. */
export interface AttemptObservation {
    readonly target: string;
    readonly finishedAt: number;
    readonly result: "complete" | "failed" | "refused" | "cancelled";
    readonly firstTokenMilliseconds?: number;
}

/**
 * Router of one model or service. It tracks the requests sent since the last report, the prefix blocks of each target,
 * and ejections. Create it with `createRouter(options)` from `routing/router.ts`.
 */
export interface Router {
    choose(candidates: readonly Candidate[], request: RouteRequest, now: number): RouteChoice;
    sent(target: string, request: RouteRequest, now: number): void;
    finished(observation: AttemptObservation): void;
    /** Records a cache event of a target: prefix blocks that it stored or evicted. */
    cacheEvent(
        target: string,
        event: { readonly stored: readonly string[]; readonly evicted: readonly string[]; },
    ): void;
    /** Records a gap in the cache events of a target, after which the content of its cache is unknown. */
    cacheGap(target: string): void;
}
