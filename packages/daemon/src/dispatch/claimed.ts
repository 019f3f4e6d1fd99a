/** Runs a request that must not be repeated: claim first, dispatch only while the claim is held, record the outcome. */
import { Err, type Result } from "ts-results";
import type { ClaimRequest, ClaimResult } from "../ports/claims.js";
import type { TargetFailure } from "../ports/engine.js";
import type { ServiceAnswer } from "../ports/service.js";
import { refuse, stopped } from "./refusals.js";
import type { RuleLimits } from "./rulelimits.js";
import type { Run, RunResult } from "./run.js";
import { callService, deliverAnswer } from "./service.js";
import type { BufferedResponse, CallerError, ServiceCallRequest } from "./types.js";

/** Handlers of the claim results that do not permit dispatch. */
const answers: {
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
        outcome === "complete" ? { answer: recordedAnswer(status, answer) } : {
            error: {
                code: "claim_unknown",
                message: "An earlier request with this idempotency key ended with an unknown outcome.",
            },
        },
};

/** Runs the request under a claim. */
export async function runClaimed(
    run: Run<ServiceCallRequest>,
    claimRequest: ClaimRequest,
    limits: RuleLimits,
): Promise<RunResult> {
    const { context, request, delivery, lifetime } = run;
    const claiming = context.claims.claim(claimRequest);
    const span = context.tracer.start("claim", request.traceparent);
    const result = await Promise.race([claiming, lifetime.stopped]).finally(() => span.end());
    context.explanations.update(request.id, () => ({ claim: result?.kind ?? "stopped" }));
    if (result === undefined) {
        claiming.then(late => late.kind === "held" && context.claims.release(late.claim)).catch(() => undefined);
        return { error: stopped(lifetime, false), tokens: 0 };
    }
    if (result.kind !== "held") {
        const answered = (answers[result.kind] as (result: ClaimResult) => ReturnType<typeof answers["mismatch"]>)(
            result,
        ) as { readonly error?: CallerError; readonly answer?: BufferedResponse; };
        if (answered.answer !== undefined) {
            delivery.respond(answered.answer);
        }
        return { ...(answered.error === undefined ? {} : { error: answered.error }), tokens: 0 };
    }
    return await runHeld(run, result.claim, limits);
}

async function runHeld(run: Run<ServiceCallRequest>, claim: string, limits: RuleLimits): Promise<RunResult> {
    const { context, request, delivery, lifetime } = run;
    const result = await dispatchHeld(run, limits);
    if (result.ok) {
        const { status, headers, body } = result.val;
        context.claims.record(claim, "complete", status, { status, headers, body });
        deliverAnswer(delivery, result.val);
        return { tokens: 0 };
    }
    if (run.maybeRan) {
        context.claims.record(claim, "unknown", 502);
        context.log.emit("outcomeUnknown", { requestId: request.id, service: request.service.name });
    }
    else {
        context.claims.release(claim);
    }
    return { error: lifetime.reason() === undefined ? result.val : stopped(lifetime, run.maybeRan), tokens: 0 };
}

/**
 * Dispatches under a held claim. Until a byte is written, the deadline or a disconnect stops the request; after that
 * only the bound of the service or the end of the shutdown does, so that the outcome can be recorded. A caller whose
 * deadline passes meanwhile gets its answer at once.
 */
async function dispatchHeld(
    run: Run<ServiceCallRequest>,
    limits: RuleLimits,
): Promise<Result<ServiceAnswer, CallerError>> {
    const { context, delivery, lifetime } = run;
    const work = new AbortController();
    const state = { written: false };
    const onStop = (): void => {
        if (!state.written || lifetime.reason() === "cut") {
            work.abort();
        }
        if (state.written && lifetime.reason() !== "gone") {
            delivery.fail(refuse(stopped(lifetime, true), context.random));
        }
    };
    if (lifetime.reason() !== undefined) {
        return Err(stopped(lifetime, false));
    }
    lifetime.signal.addEventListener("abort", onStop);
    lifetime.onCut(() => work.abort());
    try {
        return await callService(run, limits, {
            repeatable: false,
            signal: work.signal,
            mayWrite: () => {
                state.written = lifetime.reason() === undefined;
                return state.written;
            },
            finished: (failure: TargetFailure | undefined) => {
                state.written &&= failure !== undefined && failure.kind !== "not-sent" && failure.kind !== "refused";
            },
        });
    }
    finally {
        lifetime.signal.removeEventListener("abort", onStop);
    }
}

function recordedAnswer(
    status: number,
    answer: Extract<ClaimResult, { kind: "completed"; }>["answer"],
): BufferedResponse {
    const replayed = { "x-damaskvale-replayed": "true" };
    if (answer !== undefined) {
        return { ...answer, headers: { ...answer.headers, ...replayed }, outcome: "complete" };
    }
    const bodiless = status === 204 || status === 304;
    const body = JSON.stringify({ outcome: "complete", status, answer: "not retained" });
    return {
        status,
        headers: { ...(bodiless ? {} : { "content-type": "application/json" }), ...replayed },
        body: Buffer.from(bodiless ? "" : body),
        outcome: "complete",
    };
}
