/** Runs a non-repeatable request: claims it, dispatches it only if the claim is held, and records the outcome. */
import { Err, type Result } from "ts-results";
import type { ClaimRequest, ClaimResult } from "../ports/claims.js";
import type { TargetFailure } from "../ports/engine.js";
import type { ServiceResponse } from "../ports/service.js";
import { stoppedError, withRetryAfter } from "./refusals.js";
import type { RuleLimits } from "./rulelimits.js";
import type { Run, RunResult } from "./run.js";
import { callService, deliverResponse } from "./service.js";
import type { BufferedResponse, CallerError, ServiceCallRequest } from "./types.js";

/** Replies to the claim results that do not permit dispatch. */
const replies: {
    readonly [Kind in Exclude<ClaimResult["kind"], "held">]: (
        result: Extract<ClaimResult, { kind: Kind; }>,
    ) => { readonly error: CallerError; } | { readonly answer: BufferedResponse; };
} = {
    "in-progress": ({ owner }) => ({
        error: {
            code: "request_in_progress",
            message: `A request with this idempotency key is in progress at ${owner}.`,
        },
    }),
    "mismatch": () => ({
        error: {
            code: "key_reused",
            message: "The idempotency key was used with a different request.",
            param: "idempotency-key",
        },
    }),
    "unavailable": ({ retryAfterMilliseconds }) => ({
        error: {
            code: "claims_unavailable",
            message: "The request cannot be claimed now and was not dispatched.",
            retryAfterMilliseconds,
        },
    }),
    "completed": ({ outcome, status, answer }) =>
        outcome === "complete" ? { answer: replayedResponse(status, answer) } : {
            error: {
                code: "claim_unknown",
                message: "An earlier request with this idempotency key ended with an unknown outcome.",
            },
        },
};

/** Claims the request and runs it if the claim is held. Otherwise replies with the recorded response or an error. */
export async function runClaimed(
    run: Run<ServiceCallRequest>,
    claimRequest: ClaimRequest,
    limits: RuleLimits,
): Promise<RunResult> {
    const { context, request, delivery, lifetime } = run;
    const pendingClaim = context.claims.claim(claimRequest);
    const span = context.tracer.start("claim", request.traceparent);
    const result = await Promise.race([pendingClaim, lifetime.stopped]).finally(() => span.end());
    context.explanations.update(request.id, () => ({ claim: result?.kind ?? "stopped" }));
    if (result === undefined) {
        pendingClaim.then(late => late.kind === "held" && context.claims.release(late.claim)).catch(() => undefined);
        return { error: stoppedError(lifetime, false), tokens: 0 };
    }
    if (result.kind !== "held") {
        const reply = (replies[result.kind] as (result: ClaimResult) => ReturnType<typeof replies["mismatch"]>)(
            result,
        ) as { readonly error?: CallerError; readonly answer?: BufferedResponse; };
        if (reply.answer !== undefined) {
            delivery.respond(reply.answer);
        }
        return { ...(reply.error === undefined ? {} : { error: reply.error }), tokens: 0 };
    }
    return await runUnderClaim(run, result.claim, limits);
}

async function runUnderClaim(run: Run<ServiceCallRequest>, claim: string, limits: RuleLimits): Promise<RunResult> {
    const { context, request, delivery, lifetime } = run;
    const result = await dispatchUnderClaim(run, limits);
    if (result.ok) {
        const { status, headers, body } = result.val;
        context.claims.record(claim, "complete", status, { status, headers, body });
        deliverResponse(delivery, result.val);
        return { tokens: 0 };
    }
    if (run.mayHaveRun) {
        context.claims.record(claim, "unknown", 502);
        context.log.emit("outcomeUnknown", { requestId: request.id, service: request.service.name });
    }
    else {
        context.claims.release(claim);
    }
    return { error: lifetime.reason() === undefined ? result.val : stoppedError(lifetime, run.mayHaveRun), tokens: 0 };
}

/**
 * Dispatches under a held claim. Until the first byte is written, the deadline or a disconnect stops the request. After
 * that only the timeout of the service or the end of the shutdown stops it, so that the outcome can be recorded. If the
 * deadline passes in the meantime, the caller gets the error immediately.
 */
async function dispatchUnderClaim(
    run: Run<ServiceCallRequest>,
    limits: RuleLimits,
): Promise<Result<ServiceResponse, CallerError>> {
    const { context, delivery, lifetime } = run;
    const callAbort = new AbortController();
    const state = { written: false };
    const onStop = (): void => {
        if (!state.written || lifetime.reason() === "cut") {
            callAbort.abort();
        }
        if (state.written && lifetime.reason() !== "gone") {
            delivery.fail(withRetryAfter(stoppedError(lifetime, true), context.random));
        }
    };
    if (lifetime.reason() !== undefined) {
        return Err(stoppedError(lifetime, false));
    }
    lifetime.signal.addEventListener("abort", onStop);
    lifetime.onCutOff(() => callAbort.abort());
    try {
        return await callService(run, limits, {
            repeatable: false,
            signal: callAbort.signal,
            mayWrite: () => {
                state.written = lifetime.reason() === undefined;
                return state.written;
            },
            onAttemptFinished: (failure: TargetFailure | undefined) => {
                state.written &&= failure !== undefined && failure.kind !== "not-sent" && failure.kind !== "refused";
            },
        });
    }
    finally {
        lifetime.signal.removeEventListener("abort", onStop);
    }
}

function replayedResponse(
    status: number,
    recorded: Extract<ClaimResult, { kind: "completed"; }>["answer"],
): BufferedResponse {
    const replayedHeader = { "x-damaskvale-replayed": "true" };
    if (recorded !== undefined) {
        return { ...recorded, headers: { ...recorded.headers, ...replayedHeader }, outcome: "complete" };
    }
    const bodiless = status === 204 || status === 304;
    const body = JSON.stringify({ outcome: "complete", status, answer: "not retained" });
    return {
        status,
        headers: { ...(bodiless ? {} : { "content-type": "application/json" }), ...replayedHeader },
        body: Buffer.from(bodiless ? "" : body),
        outcome: "complete",
    };
}
