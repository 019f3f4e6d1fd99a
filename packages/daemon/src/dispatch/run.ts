/** State of one running request that its attempts share. */
import type { WeighedCandidate } from "@damaskvale/core";
import type { TargetFailure } from "../ports/engine.js";
import type { Delivery } from "./delivery.js";
import { type Lifetime, pause, provesNotRun } from "./lifetime.js";
import type { DispatchContext } from "./options.js";
import type { CallerError, DispatchRequest } from "./types.js";

/** Result of a request: an error for the caller, or nothing after a complete answer. */
export interface RunResult {
    readonly error?: CallerError;
    /** Tokens that the request used. */
    readonly tokens: number;
}

/** Running request. */
export interface Run<Request extends DispatchRequest> {
    readonly context: DispatchContext;
    readonly request: Request;
    readonly delivery: Delivery;
    readonly lifetime: Lifetime;
    /** Attempts made so far. */
    attempts: number;
    /** Whether a target may have run the request. */
    maybeRan: boolean;
    /** Targets that failed, in order. */
    readonly tried: string[];
    lastFailure?: TargetFailure;
}

/** Attempt to be recorded for `explain`. */
export interface AttemptRecord {
    readonly attemptId: string;
    readonly target: string;
    readonly fence?: number;
    readonly weighed: readonly WeighedCandidate[];
    readonly startedAt: number;
    readonly failure?: TargetFailure;
    readonly resumes?: number;
}

/** Starts a run. */
export function createRun<Request extends DispatchRequest>(
    context: DispatchContext,
    request: Request,
    delivery: Delivery,
    lifetime: Lifetime,
): Run<Request> {
    return { context, request, delivery, lifetime, attempts: 0, maybeRan: false, tried: [] };
}

/** Returns the id of the next attempt, unique across daemons and restarts. */
export function nextAttemptId(run: Run<DispatchRequest>): string {
    run.attempts += 1;
    if (run.attempts === 1) {
        run.context.retries.recordFirstAttempt(subjectOf(run.request), run.context.clock.monotonic());
    }
    return `${run.request.id}-${run.attempts}`;
}

/** Records a finished attempt for `explain`, metrics and the decisions that follow. */
export function recordAttempt(run: Run<DispatchRequest>, attempt: AttemptRecord): void {
    const { context, request } = run;
    const { failure, resumes, ...rest } = attempt;
    const result = failure?.kind ?? "complete";
    if (failure !== undefined) {
        run.lastFailure = failure;
        run.tried.push(attempt.target);
        run.maybeRan ||= !provesNotRun(failure);
    }
    context.metrics.increment("attempts", 1, { route: request.kind, result });
    context.explanations.update(request.id, ({ attempts }) => ({
        attempts: [...attempts, {
            ...rest,
            finishedAt: context.clock.monotonic(),
            result,
            ...(failure === undefined ? {} : { message: failure.message }),
            resumes: resumes ?? 0,
        }],
    }));
}

/** Asks the retry policy after a failure, and waits for as long as it says. Returns whether to try again. */
export async function mayRetry(run: Run<DispatchRequest>, repeatable: boolean, signal: AbortSignal): Promise<boolean> {
    if (run.lastFailure === undefined) {
        return true;
    }
    const now = run.context.clock.monotonic();
    const answer = run.context.retries.decide({
        subject: subjectOf(run.request),
        failure: run.lastFailure,
        attempts: run.attempts,
        repeatable,
        delivered: run.delivery.started(),
        deadlineAt: run.request.deadlineAt,
        now,
    });
    // The rule holds whatever the policy answers: work that may have run is repeated only if it is repeatable.
    if (!answer.retry || (run.maybeRan && !repeatable) || run.delivery.started()) {
        return false;
    }
    await pause(answer.delayMilliseconds, signal);
    return true;
}

/** Returns the error after the last attempt. */
export function attemptsFailed(run: Run<DispatchRequest>): CallerError {
    if (run.lastFailure?.kind === "refused" && !run.maybeRan) {
        return { code: "no_ready_group", message: "All targets refused the request before starting it." };
    }
    return {
        code: "target_failed",
        message: `No target completed the request: ${run.lastFailure?.message ?? "no attempt was made"}.`,
        outcome: run.maybeRan ? "unknown" : "not-run",
    };
}

function subjectOf(request: DispatchRequest): string {
    return request.kind === "chat" ? `model ${request.model}` : `service ${request.service.name}`;
}
