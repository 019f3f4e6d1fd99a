/** State that the attempts of one request share. */
import type { WeighedCandidate } from "@damaskvale/core";
import type { TargetFailure } from "../ports/engine.js";
import type { Delivery } from "./delivery.js";
import { isProvenNotRun, type Lifetime, sleep } from "./lifetime.js";
import type { DispatchContext } from "./options.js";
import type { CallerError, DispatchRequest } from "./types.js";

/** Result of a request: an error to return to the caller, or no error if the response has been delivered. */
export interface RunResult {
    readonly error?: CallerError;
    /** Tokens that the request used. */
    readonly tokens: number;
}

/** Request that is being run. */
export interface Run<Request extends DispatchRequest> {
    readonly context: DispatchContext;
    readonly request: Request;
    readonly delivery: Delivery;
    readonly lifetime: Lifetime;
    /** Attempts made so far. */
    attempts: number;
    /** Whether a target may have run any part of the request. */
    mayHaveRun: boolean;
    /** Targets that failed, in order. */
    readonly tried: string[];
    /** Number of these that refused the request before starting it. */
    refusals: number;
    lastFailure?: TargetFailure;
}

/** What the error of a request depends on whose attempts all failed. */
export type FailedRun = Pick<Run<DispatchRequest>, "lastFailure" | "mayHaveRun" | "tried" | "refusals">;

/** Finished attempt, as `recordAttempt` takes it. */
export interface AttemptRecord {
    readonly attemptId: string;
    readonly target: string;
    readonly fence?: number;
    readonly weighed: readonly WeighedCandidate[];
    readonly startedAt: number;
    readonly failure?: TargetFailure;
    readonly resumes?: number;
}

/** Creates the state of a request without attempts. */
export function createRun<Request extends DispatchRequest>(
    context: DispatchContext,
    request: Request,
    delivery: Delivery,
    lifetime: Lifetime,
): Run<Request> {
    return { context, request, delivery, lifetime, attempts: 0, mayHaveRun: false, tried: [], refusals: 0 };
}

/** Counts a new attempt and returns its id, which is unique across daemons and restarts. */
export function nextAttemptId(run: Run<DispatchRequest>): string {
    run.attempts += 1;
    if (run.attempts === 1) {
        run.context.retries.recordFirstAttempt(retrySubject(run.request), run.context.clock.monotonic());
    }
    return `${run.request.id}-${run.attempts}`;
}

/** Records a finished attempt for `explain`, for metrics and for the following retry decisions. */
export function recordAttempt(run: Run<DispatchRequest>, attempt: AttemptRecord): void {
    const { context, request } = run;
    const { failure, resumes, ...rest } = attempt;
    const result = failure?.kind ?? "complete";
    if (failure !== undefined) {
        run.lastFailure = failure;
        run.tried.push(attempt.target);
        run.refusals += failure.kind === "refused" ? 1 : 0;
        run.mayHaveRun ||= !isProvenNotRun(failure);
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

/** Asks the retry policy after a failure and waits for the delay it returns. Returns whether to make an attempt. */
export async function waitForRetry(
    run: Run<DispatchRequest>,
    repeatable: boolean,
    signal: AbortSignal,
): Promise<boolean> {
    if (run.lastFailure === undefined) {
        return true;
    }
    const now = run.context.clock.monotonic();
    const decision = run.context.retries.decide({
        subject: retrySubject(run.request),
        failure: run.lastFailure,
        attempts: run.attempts,
        repeatable,
        delivered: run.delivery.streamStarted(),
        deadlineAt: run.request.deadlineAt,
        now,
    });
    // Independent of the policy, work that may have run is retried only if the request is repeatable.
    if (!decision.retry || (run.mayHaveRun && !repeatable) || run.delivery.streamStarted()) {
        return false;
    }
    await sleep(decision.delayMilliseconds, signal);
    return true;
}

/** Returns the error of a request whose attempts all failed. */
export function attemptsFailedError(run: FailedRun): CallerError {
    if (run.lastFailure?.kind === "refused" && !run.mayHaveRun) {
        const refused = run.refusals === run.tried.length
            ? "All targets that were tried refused"
            : "The last of the targets that were tried refused";
        return { code: "no_ready_group", message: `${refused} the request before starting it; none has run it.` };
    }
    return {
        code: "target_failed",
        message: `No target completed the request: ${run.lastFailure?.message ?? "no attempt was made"}.`,
        outcome: run.mayHaveRun ? "unknown" : "not-run",
    };
}

function retrySubject(request: DispatchRequest): string {
    return request.kind === "chat" ? `model ${request.model}` : `service ${request.service.name}`;
}
