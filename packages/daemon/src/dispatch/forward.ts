/** Forwards a chat completion request once to a daemon of another data centre. */
import type { TargetFailure } from "../ports/engine.js";
import { type ForwardEvent } from "./forwarder.js";
import { provesNotRun } from "./lifetime.js";
import { stopped } from "./refusals.js";
import { attemptsFailed, nextAttemptId, recordAttempt, type Run, type RunResult } from "./run.js";
import type { CallerError, ChatRequest } from "./types.js";

type Forwarded =
    | { readonly kind: "complete"; readonly tokens: number; }
    | { readonly kind: "error"; readonly error: CallerError; }
    | { readonly kind: "failure"; readonly failure: TargetFailure; };

/** Returns the result of forwarding, or `undefined` when there is no daemon to forward to. */
export async function forwardChat(run: Run<ChatRequest>): Promise<RunResult | undefined> {
    const { context, request, lifetime } = run;
    const { forwarder } = context;
    if (forwarder === undefined || request.forwardedBy !== undefined) {
        return undefined;
    }
    for (const { daemon, address } of context.groups.elsewhere(request.model)) {
        if (lifetime.reason() !== undefined) {
            return { error: stopped(lifetime, run.maybeRan), tokens: 0 };
        }
        const attemptId = nextAttemptId(run);
        const startedAt = context.clock.monotonic();
        const span = context.tracer.start("forward", request.traceparent);
        span.setAttribute("daemon", daemon);
        const result = await relay(
            run,
            forwarder.forward({
                address,
                request,
                attemptId,
                remainingMilliseconds: lifetime.remaining(),
                signal: lifetime.signal,
                mayWrite: () => lifetime.reason() === undefined,
                traceparent: span.traceparent,
            }),
        );
        const failure = result.kind === "failure" ? result.failure : undefined;
        recordAttempt(run, { attemptId, target: `daemon ${daemon}`, weighed: [], startedAt, failure });
        context.metrics.increment("requests.forwarded", 1, { model: request.model });
        span.end(failure?.message);
        if (result.kind === "complete") {
            return { tokens: result.tokens };
        }
        if (result.kind === "error") {
            return { error: result.error, tokens: 0 };
        }
        if (!provesNotRun(result.failure)) {
            return {
                error: lifetime.signal.aborted ? stopped(lifetime, run.maybeRan) : attemptsFailed(run),
                tokens: 0,
            };
        }
    }
    return undefined;
}

async function relay(
    { delivery, lifetime }: Run<ChatRequest>,
    events: AsyncIterable<ForwardEvent>,
): Promise<Forwarded> {
    let tokens = 0;
    for await (const event of events) {
        if (event.kind === "failure") {
            return event;
        }
        if (event.kind === "error") {
            return { kind: "error", error: event.error };
        }
        if (event.kind === "chunk") {
            tokens += 1;
            const waiting = delivery.chunk(event.raw ?? JSON.stringify(event.data));
            if (waiting !== undefined) {
                await Promise.race([waiting, lifetime.stopped]);
            }
        }
        if (event.kind === "done") {
            delivery.done();
            return { kind: "complete", tokens };
        }
        if (event.kind === "answer") {
            delivery.respond(event.answer);
            return { kind: "complete", tokens };
        }
    }
    return { kind: "failure", failure: { kind: "broken", message: "the answer of the other daemon ended early" } };
}
