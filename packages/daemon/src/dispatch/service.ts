/** Runs requests to plain services. */
import { Err, Ok, type Result } from "ts-results";
import type { TargetFailure } from "../ports/engine.js";
import type { ServiceResponse } from "../ports/service.js";
import { serviceCandidates } from "./candidates.js";
import type { Delivery } from "./delivery.js";
import { isProvenNotRun } from "./lifetime.js";
import { stoppedError } from "./refusals.js";
import type { RuleLimits } from "./rulelimits.js";
import { attemptsFailedError, nextAttemptId, recordAttempt, type Run, type RunResult, waitForRetry } from "./run.js";
import type { CallerError, ServiceCallRequest } from "./types.js";

/** Options of a call and its attempts. */
export interface CallOptions {
    readonly repeatable: boolean;
    readonly signal: AbortSignal;
    /** Called immediately before the first byte of an attempt is written. If it returns false, nothing is written. */
    readonly mayWrite: () => boolean;
    /** Called at the end of each attempt. */
    readonly onAttemptFinished?: (failure: TargetFailure | undefined) => void;
}

/** Runs a repeatable request. */
export async function runRepeatable(run: Run<ServiceCallRequest>, limits: RuleLimits): Promise<RunResult> {
    const { delivery, lifetime } = run;
    const result = await callService(run, limits, {
        repeatable: true,
        signal: lifetime.signal,
        mayWrite: () => lifetime.reason() === undefined,
    });
    if (result.err) {
        return { error: result.val, tokens: 0 };
    }
    deliverResponse(delivery, result.val);
    return { tokens: 0 };
}

/** Delivers the response of a service to the caller. */
export function deliverResponse(delivery: Delivery, response: ServiceResponse): void {
    delivery.respond({ ...response, outcome: "complete" });
}

/** Calls the service until it answers or the request must not be retried. */
export async function callService(
    run: Run<ServiceCallRequest>,
    limits: RuleLimits,
    callOptions: CallOptions,
): Promise<Result<ServiceResponse, CallerError>> {
    const { context, request, lifetime } = run;
    for (;;) {
        if (lifetime.reason() !== undefined) {
            return Err(stoppedError(lifetime, run.mayHaveRun));
        }
        if (!await waitForRetry(run, callOptions.repeatable, callOptions.signal)) {
            return Err(attemptsFailedError(run));
        }
        const now = context.clock.monotonic();
        const found = serviceCandidates(context.table.current(), limits, request.team.name, request.service, now);
        const router = context.router(`service ${request.service.name}`);
        const route = { prefixes: [], priority: request.priority, excluded: run.tried };
        const routing = context.tracer.start("routing", request.traceparent);
        const first = router.choose(found.candidates, route, now);
        const allowTried = first.target === undefined && run.tried.length > 0 && run.lastFailure?.kind !== "refused";
        const choice = allowTried ? router.choose(found.candidates, { ...route, excluded: [] }, now) : first;
        routing.end();
        const chosen = found.targets.get(choice.target ?? "");
        if (chosen === undefined) {
            return Err(
                run.attempts > 0 ? attemptsFailedError(run) : noTargetError(request.service.name, found.limitedByRule),
            );
        }
        const startedAt = now;
        const attemptId = nextAttemptId(run);
        const span = context.tracer.start("attempt", request.traceparent);
        router.sent(chosen.target, route, now);
        const finish = limits.begin(chosen.rule, now);
        const result = await callTarget(run, chosen.target, attemptId, callOptions, span.traceparent).finally(finish);
        const failure = result.err ? result.val : undefined;
        callOptions.onAttemptFinished?.(failure);
        router.finished({
            target: chosen.target,
            finishedAt: context.clock.monotonic(),
            result: failure === undefined ? "complete" : isProvenNotRun(failure) ? "refused" : "failed",
        });
        recordAttempt(run, { attemptId, target: chosen.target, weighed: choice.weighed, startedAt, failure });
        span.end(failure?.message);
        if (result.ok) {
            return Ok(result.val);
        }
    }
}

function callTarget(
    { context, request, lifetime }: Run<ServiceCallRequest>,
    url: string,
    attemptId: string,
    callOptions: CallOptions,
    traceparent: string,
): Promise<Result<ServiceResponse, TargetFailure>> {
    const timeoutMilliseconds = request.service.timeoutMilliseconds;
    return context.services.call({
        url,
        attemptId,
        ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeoutMilliseconds: callOptions.repeatable
            ? Math.max(1, Math.min(timeoutMilliseconds, lifetime.remainingMilliseconds()))
            : timeoutMilliseconds,
        signal: callOptions.signal,
        traceparent,
        // The table is read again, because the service may have started to drain since the target was chosen.
        mayWrite: () =>
            context.table.current().target(request.service.name)?.state !== "draining" && callOptions.mayWrite(),
    });
}

function noTargetError(service: string, limitedByRule: boolean): CallerError {
    return limitedByRule
        ? { code: "rate_limited", message: `A rule limits the requests to service ${service}.` }
        : { code: "no_ready_group", message: `Service ${service} takes no requests now.` };
}
