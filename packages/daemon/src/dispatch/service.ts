/** Runs requests to plain services. */
import { Err, Ok, type Result } from "ts-results";
import type { TargetFailure } from "../ports/engine.js";
import type { ServiceAnswer } from "../ports/service.js";
import { serviceCandidates } from "./candidates.js";
import type { Delivery } from "./delivery.js";
import { provesNotRun } from "./lifetime.js";
import { stopped } from "./refusals.js";
import type { RuleLimits } from "./rulelimits.js";
import { attemptsFailed, mayRetry, nextAttemptId, recordAttempt, type Run, type RunResult } from "./run.js";
import type { CallerError, ServiceCallRequest } from "./types.js";

/** How the attempts of a call are bounded. */
export interface CallBounds {
    readonly repeatable: boolean;
    readonly signal: AbortSignal;
    /** Asked immediately before the first byte of an attempt is written. */
    readonly mayWrite: () => boolean;
    /** Told of the end of each attempt. */
    readonly finished?: (failure: TargetFailure | undefined) => void;
}

/** Runs a request that may be repeated. */
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
    deliverAnswer(delivery, result.val);
    return { tokens: 0 };
}

/** Delivers the answer of a service. */
export function deliverAnswer(delivery: Delivery, answer: ServiceAnswer): void {
    delivery.respond({ ...answer, outcome: "complete" });
}

/** Calls the service until it answers or must not be tried again. */
export async function callService(
    run: Run<ServiceCallRequest>,
    limits: RuleLimits,
    bounds: CallBounds,
): Promise<Result<ServiceAnswer, CallerError>> {
    const { context, request, lifetime } = run;
    for (;;) {
        if (lifetime.reason() !== undefined) {
            return Err(stopped(lifetime, run.maybeRan));
        }
        if (!await mayRetry(run, bounds.repeatable, bounds.signal)) {
            return Err(attemptsFailed(run));
        }
        const now = context.clock.monotonic();
        const found = serviceCandidates(context.table.current(), limits, request.team.name, request.service, now);
        const router = context.router(`service ${request.service.name}`);
        const route = { prefixes: [], priority: request.priority, excluded: run.tried };
        const routing = context.tracer.start("routing", request.traceparent);
        const first = router.choose(found.candidates, route, now);
        const again = first.target === undefined && run.tried.length > 0 && run.lastFailure?.kind !== "refused";
        const choice = again ? router.choose(found.candidates, { ...route, excluded: [] }, now) : first;
        routing.end();
        const chosen = found.targets.get(choice.target ?? "");
        if (chosen === undefined) {
            return Err(run.attempts > 0 ? attemptsFailed(run) : noTarget(request.service.name, found.limited));
        }
        const startedAt = now;
        const attemptId = nextAttemptId(run);
        const span = context.tracer.start("attempt", request.traceparent);
        router.sent(chosen.target, route, now);
        const finish = limits.begin(chosen.rule, now);
        const result = await call(run, chosen.target, attemptId, bounds, span.traceparent).finally(finish);
        const failure = result.err ? result.val : undefined;
        bounds.finished?.(failure);
        router.finished({
            target: chosen.target,
            finishedAt: context.clock.monotonic(),
            result: failure === undefined ? "complete" : provesNotRun(failure) ? "refused" : "failed",
        });
        recordAttempt(run, { attemptId, target: chosen.target, weighed: choice.weighed, startedAt, failure });
        span.end(failure?.message);
        if (result.ok) {
            return Ok(result.val);
        }
    }
}

function call(
    { context, request, lifetime }: Run<ServiceCallRequest>,
    url: string,
    attemptId: string,
    bounds: CallBounds,
    traceparent: string,
): Promise<Result<ServiceAnswer, TargetFailure>> {
    const bound = request.service.timeoutMilliseconds;
    return context.services.call({
        url,
        attemptId,
        ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body,
        timeoutMilliseconds: bounds.repeatable ? Math.max(1, Math.min(bound, lifetime.remaining())) : bound,
        signal: bounds.signal,
        traceparent,
        // A row that became draining since the choice stops the request here.
        mayWrite: () => context.table.current().target(request.service.name)?.state !== "draining" && bounds.mayWrite(),
    });
}

function noTarget(service: string, limited: boolean): CallerError {
    return limited
        ? { code: "rate_limited", message: `A rule limits the requests to service ${service}.` }
        : { code: "no_ready_group", message: `Service ${service} takes no requests now.` };
}
