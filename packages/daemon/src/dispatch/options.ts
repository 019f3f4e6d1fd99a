/** Options of the dispatcher, and what its parts share. */
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
    /** Model or service whose budget pays for another attempt. */
    readonly subject: string;
    readonly failure: TargetFailure;
    /** Attempts made so far, at least 1. */
    readonly attempts: number;
    readonly repeatable: boolean;
    /** Whether part of the answer has reached the caller. */
    readonly delivered: boolean;
    readonly deadlineAt: number;
    readonly now: number;
}

/** Whether another attempt is made, and after which delay. */
export interface RetryDecision {
    readonly retry: boolean;
    readonly delayMilliseconds: number;
}

/** Decision about another attempt, with the retry budget behind it. */
export interface RetryPolicy {
    /** Counts a first attempt, from which the budget is filled. */
    recordFirstAttempt(subject: string, now: number): void;
    decide(failed: FailedAttempt): RetryDecision;
}

/** Options of the dispatcher. Times in milliseconds. */
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
    /** Makes the router of one model or service. */
    readonly createRouter: (name: string) => Router;
    readonly metrics: Metrics;
    readonly log: EventLog;
    readonly tracer: Tracer;
    /** Random number from 0 up to 1, which spreads `Retry-After`. */
    readonly random: () => number;
    readonly concurrencyPerGroup: number;
    readonly maximumExplanations?: number;
}

/** What the parts of the dispatcher share. */
export interface DispatchContext extends DispatcherOptions {
    readonly explanations: Explanations;
    router(name: string): Router;
}
