/** Forwards a chat completion request once to a daemon of another data centre. */
import type { TargetFailure } from "../ports/engine.js";
import { type ForwardEvent } from "./forwarder.js";
import { isProvenNotRun } from "./lifetime.js";
import { stoppedError } from "./refusals.js";
import { attemptsFailedError, nextAttemptId, recordAttempt, type Run, type RunResult } from "./run.js";
import type { CallerError, ChatRequest } from "./types.js";

type Forwarded =
    | { readonly kind: "complete"; readonly tokens: number; }
    | { readonly kind: "error"; readonly error: CallerError; }
    | { readonly kind: "failure"; readonly failure: TargetFailure; };

/**
 * Returns the result of forwarding, or `undefined` if no other daemon took the request. The next daemon is tried only
 * after a failure that proves that the request was not run.
 */
export async function forwardChat(run: Run<ChatRequest>): Promise<RunResult | undefined> {
    const { context, request, lifetime } = run;
    const { forwarder } = context;
    if (forwarder === undefined || request.forwardedBy !== undefined) {
        return undefined;
    }
    for (const { daemon, address } of context.groups.remoteDataCentres(request.model)) {
        if (lifetime.reason() !== undefined) {
            return { error: stoppedError(lifetime, run.mayHaveRun), tokens: 0 };
        }
        const attemptId = nextAttemptId(run);
        const startedAt = context.clock.monotonic();
        const span = context.tracer.start("forward", request.traceparent);
        span.setAttribute("daemon", daemon);
        const result = await relayEvents(
            run,
            forwarder.forward({
                address,
                request,
                attemptId,
                remainingMilliseconds: lifetime.remainingMilliseconds(),
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
        if (!isProvenNotRun(result.failure)) {
            return {
                error: lifetime.signal.aborted ? stoppedError(lifetime, run.mayHaveRun) : attemptsFailedError(run),
                tokens: 0,
            };
        }
    }
    return undefined;
}

async function relayEvents(
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
            const drained = delivery.chunk(event.raw ?? JSON.stringify(event.data));
            if (drained !== undefined) {
                await Promise.race([drained, lifetime.stopped]);
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
