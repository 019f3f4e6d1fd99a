/** Stages of one request after the front end: duplicate check, admission, attempts. */
import type { ActiveRequest } from "./active.js";
import { type AdmissionResult, createAdmissionQueue } from "./admissionqueue.js";
import { createCapacityRefresh, estimateTokens } from "./capacity.js";
import { runChat } from "./chat.js";
import { runClaimed } from "./claimed.js";
import { createDuplicateCheck } from "./duplicates.js";
import { claimRequestOf } from "./keys.js";
import type { DispatchContext } from "./options.js";
import { noReadyGroupError, stoppedError } from "./refusals.js";
import { createRuleLimits } from "./rulelimits.js";
import { createRun, type RunResult } from "./run.js";
import { runRepeatable } from "./service.js";
import type { CallerError, ChatRequest, DispatchRequest } from "./types.js";

/** Runs the requests of one daemon through the stages. */
export interface Pipeline {
    run(request: DispatchRequest, entry: ActiveRequest): Promise<RunResult>;
    close(): void;
}

const admissionErrorMessages = {
    rate_limited: "The team has used its rate limit.",
    queue_full: "The queue of the team is full.",
    deadline_exceeded: "The request would wait beyond its deadline.",
} as const;

/** Creates the pipeline. */
export function createPipeline(context: DispatchContext): Pipeline {
    const { admission, clock, shares } = context;
    const limits = createRuleLimits();
    const runUnlessDuplicate = createDuplicateCheck();
    const refreshCapacity = createCapacityRefresh(context);
    const queue = createAdmissionQueue(admission, clock, refreshCapacity);
    admission.configure(shares.current(), clock.monotonic());
    const unsubscribe = shares.subscribe(changed => {
        admission.configure(changed, clock.monotonic());
        queue.poll();
    });

    const runAdmitted = (request: DispatchRequest, { delivery, lifetime }: ActiveRequest): Promise<RunResult> => {
        if (request.kind === "chat") {
            return runChat(createRun(context, request, delivery, lifetime), limits);
        }
        const run = createRun(context, request, delivery, lifetime);
        return request.repeatable ? runRepeatable(run, limits) : runClaimed(run, claimRequestOf(request), limits);
    };

    const admitAndRun = async (request: DispatchRequest, entry: ActiveRequest): Promise<RunResult> => {
        refreshCapacity();
        const span = context.tracer.start("admission", request.traceparent);
        const admitted = await queue.admit({
            id: request.id,
            team: request.team.name,
            priority: request.priority,
            tokens: estimateTokens(request),
            deadlineAt: request.deadlineAt,
        }, entry.lifetime.signal);
        span.setAttribute("decision", admitted.kind);
        span.end();
        context.explanations.update(request.id, () => ({ admission: admitted.kind }));
        if (admitted.kind !== "admitted") {
            return { error: admissionError(admitted, entry), tokens: 0 };
        }
        const used = { tokens: 0 };
        try {
            const result = await runAdmitted(request, entry);
            used.tokens = result.tokens;
            return result;
        }
        finally {
            queue.finish(request.id, used.tokens);
        }
    };

    const runOnce = async (request: DispatchRequest, entry: ActiveRequest): Promise<RunResult> => {
        if (request.kind === "chat") {
            return refuseUnservable(context, request) ?? await admitAndRun(request, entry);
        }
        return request.repeatable
            ? admitAndRun(request, entry)
            : runUnlessDuplicate(request, () => admitAndRun(request, entry));
    };

    return {
        run: async (request, entry) => {
            try {
                return await runOnce(request, entry);
            }
            catch (error) {
                const stack = (error as Error).stack ?? String(error);
                context.log.emit("requestFailed", { requestId: request.id, error: stack });
                const message = "The request failed inside the daemon.";
                return { error: { code: "internal_error", message }, tokens: 0 };
            }
        },
        close: () => {
            unsubscribe();
            queue.close();
        },
    };
}

/** Returns an error for a model that no data centre can serve now, so that the request does not wait in the queue. */
function refuseUnservable({ groups }: DispatchContext, { model, forwardedBy }: ChatRequest): RunResult | undefined {
    const servable = groups.dispatchable(model).length > 0
        || (forwardedBy === undefined && groups.remoteDataCentres(model).length > 0);
    return servable ? undefined : { error: noReadyGroupError(model), tokens: 0 };
}

function admissionError(
    result: Exclude<AdmissionResult, { kind: "admitted"; }>,
    { lifetime }: ActiveRequest,
): CallerError {
    if (result.kind === "withdrawn") {
        return stoppedError(lifetime, false);
    }
    const { code, retryAfterMilliseconds } = result;
    return { code, message: admissionErrorMessages[code], retryAfterMilliseconds, jitter: false };
}
