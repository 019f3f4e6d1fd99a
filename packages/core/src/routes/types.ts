/** Types of the configuration under which requests are relayed to targets. */

/**
 * What may be repeated: a `repeatable` request may run more than once; a `once` request may run at most once for each
 * attempt of the caller; a `stream` is answered by a series of events and may be resumed only if the route allows it.
 */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service and its share of the requests of a route. */
export interface RouteTarget {
    readonly service: string;
    /** Share relative to the other targets of the route; 0 gets no requests. */
    readonly weight: number;
}

/** A route: requests to one host name below one path prefix. */
export interface Route {
    readonly name: string;
    readonly hostname: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Whether a stream may go on at another target after its last delivered event. */
    readonly resumable: boolean;
    /** Targets to which one request may be sent. */
    readonly maximumAttempts: number;
    readonly timeoutMilliseconds: number;
    /** Time within which the first byte of the answer is expected. */
    readonly latencyObjectiveMilliseconds: number;
    /** Longest pause between events of a stream that callers accept, if the route is a stream. */
    readonly gapObjectiveMilliseconds?: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests need no key of a team. */
    readonly isPublic: boolean;
    readonly targets: readonly RouteTarget[];
}

/** A model that an engine service offers in groups of hosts. */
export interface ModelProfile {
    readonly name: string;
    /** Hosts of one group. */
    readonly size: number;
    /** Share of the work that is for this model, 0 to 1. */
    readonly share: number;
    /** Factor on all times of a group. */
    readonly pace: number;
    /** Time to load the weights from the weight store. */
    readonly loadMilliseconds: number;
    /** Time to take the weights from the host's own copy. */
    readonly warmMilliseconds: number;
}

/** Sizes and speeds of the engines of a service. Times are in milliseconds. */
export interface EngineProfile {
    /** Requests that one group processes at once. */
    readonly slots: number;
    /** Tokens that fit into the memory of one group. */
    readonly kvCacheTokens: number;
    /** Token steps of one pass; the events of a stream are sent once a pass. */
    readonly stepsPerPass: number;
    readonly models: readonly ModelProfile[];
    readonly baseStepMilliseconds: number;
    readonly stepMillisecondsPerSequence: number;
    readonly stepMillisecondsPerThousandContextTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Time for a million pairs of a prompt token and an earlier token. */
    readonly prefillMillisecondsPerMillionPairs: number;
    /** Prompt tokens that are read in one step at most. */
    readonly prefillChunkTokens: number;
    /** Loads from the weight store that may start in a second. */
    readonly loadsPerSecond: number;
    /** Loads at the same time beyond which each one takes longer. */
    readonly concurrentLoads: number;
    /** Time from the order to open until a group serves. */
    readonly openMilliseconds: number;
    /** Mean prompt and answer lengths in tokens. */
    readonly meanPromptTokens: number;
    readonly meanOutputTokens: number;
}

/** A service whose targets answer requests. Services with an engine profile are served by groups of hosts. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that one target accepts from all callers. */
    readonly maximumConnections: number;
    readonly engine?: EngineProfile;
}

/** A team and the keys by which its requests are known. */
export interface Team {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over the priority of the route. */
    readonly priority?: number;
}

/** What callers may send and how long they may take. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** One version of the configuration, complete. */
export interface RelayConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Absent if requests carry no keys. */
    readonly teams?: readonly Team[];
    readonly limits: CallerLimits;
}
