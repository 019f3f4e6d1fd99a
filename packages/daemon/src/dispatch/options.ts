/** Options of the dispatcher, and the context that its modules share. */
import type { Admission, Router, TeamShare } from "@damaskvale/core";
import type { Claims } from "../ports/claims.js";
import type { Clock } from "../ports/clock.js";
import type { EngineClient, TargetFailure } from "../ports/engine.js";
import type { EventLog } from "../ports/eventlog.js";
import type { GroupView } from "../ports/groupview.js";
import type { Metrics } from "../ports/metrics.js";
import type { ServiceClient } from "../ports/service.js";
import type { TableView } from "../ports/tableview.js";
import type { Tracer } from "../ports/tracer.js";
import type { Published } from "../tasks/published.js";
import type { Explanations } from "./explanations.js";
import type { Forwarder } from "./forwarder.js";

/** State of a request after a failed attempt. */
export interface FailedAttempt {
    /** Model or service whose retry budget the next attempt counts against. */
    readonly subject: string;
    readonly failure: TargetFailure;
    /** Attempts made so far, at least 1. */
    readonly attempts: number;
    readonly repeatable: boolean;
    /** Whether part of the response has been sent to the caller. */
    readonly delivered: boolean;
    readonly deadlineAt: number;
    readonly now: number;
}

/** Whether to make another attempt, and the delay before it. */
export interface RetryDecision {
    readonly retry: boolean;
    readonly delayMilliseconds: number;
}

/** Decides whether to retry, within a retry budget. */
export interface RetryPolicy {
    /** Counts a first attempt. First attempts add to the budget. */
    recordFirstAttempt(subject: string, now: number): void;
    decide(failed: FailedAttempt): RetryDecision;
}

/** Options of the dispatcher. */
export interface DispatcherOptions {
    readonly clock: Clock;
    readonly table: Published<TableView>;
    readonly groups: GroupView;
    readonly claims: Claims;
    readonly engines: EngineClient;
    readonly services: ServiceClient;
    readonly forwarder?: Forwarder;
    readonly admission: Admission;
    readonly shares: Published<readonly TeamShare[]>;
    readonly retries: RetryPolicy;
    /** Creates the router of one model or service. */
    readonly createRouter: (name: string) => Router;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly tracer: Tracer;
    /** Returns a random number in [0, 1), which adds jitter to `Retry-After`. */
    readonly random: () => number;
    readonly concurrencyPerGroup: number;
    readonly maximumExplanations?: number;
}

/** Context that the modules of the dispatcher share. */
export interface DispatchContext extends DispatcherOptions {
    readonly explanations: Explanations;
    /** Returns the router of a model or service, and creates it on first use. */
    router(name: string): Router;
}
