/** Types of the configuration by which requests are relayed to targets. */
import type { ColdStart } from "../coldstart/coldshare.js";

/**
 * How requests may be retried: a `repeatable` request may run more than once; a `once` request may run at most once for
 * each attempt of the caller; a `stream` is answered by a series of events and resumed only if the route allows it.
 */
export type RouteKind = "repeatable" | "once" | "stream";

/** A service and its share of the requests of a route. */
export interface RouteTarget {
    readonly service: string;
    /** Share relative to the other targets of the route; a weight of 0 gets no requests. */
    readonly weight: number;
}

/** A route: requests to one host name below one path prefix. */
export interface Route {
    readonly name: string;
    readonly hostname: string;
    /** Begins and ends with a slash. */
    readonly prefix: string;
    readonly kind: RouteKind;
    /** Whether a stream may be resumed at another target after its last delivered event. */
    readonly resumable: boolean;
    /** Maximum number of targets to which one request is sent. */
    readonly maximumAttempts: number;
    readonly timeoutMilliseconds: number;
    /** Time within which the first byte of the response is expected. */
    readonly latencyObjectiveMilliseconds: number;
    /** Maximum pause between events of a stream that callers accept, if the route is a stream. */
    readonly gapObjectiveMilliseconds?: number;
    /** Priority; 0 is the most urgent. */
    readonly priority: number;
    /** Whether requests are admitted without the key of a team. */
    readonly isPublic: boolean;
    readonly targets: readonly RouteTarget[];
}

/** A model that an engine service serves with groups of hosts. */
export interface ModelProfile {
    readonly name: string;
    /** Number of hosts of one group. */
    readonly size: number;
    /** Share of the hosts that are meant for this model, from 0 to 1. */
    readonly share: number;
    /** Factor on all durations of a group. */
    readonly pace: number;
    /** Time to load the weights from the weight store. */
    readonly loadMilliseconds: number;
    /** Time to load the weights from the copy on the host. */
    readonly warmMilliseconds: number;
}

/** Capacity and performance of the engines of a service. Times are in milliseconds. */
export interface EngineProfile {
    /** Number of requests that one group processes at once. */
    readonly slots: number;
    /** Number of tokens that fit into the KV cache of one group. */
    readonly kvCacheTokens: number;
    /** Number of decode steps in one pass; the events of a stream are sent once per pass. */
    readonly stepsPerPass: number;
    readonly models: readonly ModelProfile[];
    readonly baseStepMilliseconds: number;
    readonly stepMillisecondsPerSequence: number;
    readonly stepMillisecondsPerThousandContextTokens: number;
    readonly prefillTokensPerSecond: number;
    /** Time for attention between one million pairs of a prompt token and an earlier token. */
    readonly prefillMillisecondsPerMillionPairs: number;
    /** Maximum number of prompt tokens that are prefilled in one step. */
    readonly prefillChunkTokens: number;
    /** Number of loads from the weight store that may start per second. */
    readonly loadsPerSecond: number;
    /** Number of concurrent loads above which each load takes longer. */
    readonly concurrentLoads: number;
    /** Time from the order to open until the group serves. */
    readonly openMilliseconds: number;
    /** Mean lengths of prompts and outputs in tokens. */
    readonly meanPromptTokens: number;
    readonly meanOutputTokens: number;
}

/** A service whose targets answer requests. Services with an engine profile are served by groups of hosts. */
export interface Service {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum number of connections that one target accepts from all callers. */
    readonly maximumConnections: number;
    readonly engine?: EngineProfile;
    /** Limit on the requests to targets that started lately; absent if there is none. */
    readonly coldStart?: ColdStart;
}

/** A team and the keys that identify its requests. */
export interface Team {
    readonly name: string;
    readonly keys: readonly string[];
    /** Takes precedence over the priority of the route. */
    readonly priority?: number;
}

/** Limits on the size and the duration of requests from callers. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMilliseconds: number;
    readonly idleTimeoutMilliseconds: number;
}

/** One complete version of the configuration. */
export interface RelayConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly Service[];
    /** Absent if requests need no keys. */
    readonly teams?: readonly Team[];
    readonly limits: CallerLimits;
}
