/** One attempt of a chat completion on one group, with resumption of its stream. */
import type { EngineEvent, EngineRequest, TargetFailure } from "../ports/engine.js";
import type { DispatchableGroup } from "../ports/groupview.js";
import { pause, provesNotRun } from "./lifetime.js";
import type { Run } from "./run.js";
import type { ChatRequest } from "./types.js";

/** Result of an attempt; without a failure the answer was delivered completely. */
export interface AttemptResult {
    readonly failure?: TargetFailure;
    readonly tokens: number;
    /** Monotonic time of the first part of the answer, in milliseconds. */
    readonly firstTokenAt?: number;
    readonly resumes: number;
    /** Whether the target may have run the request. */
    readonly maybeRan: boolean;
}

/** Resumptions of one attempt; a connection that breaks more often does not carry the answer. */
const MAXIMUM_RESUMES = 3;
/** Wait before a resumption whose connection was not even made. */
const RESUME_DELAY_MILLISECONDS = 100;

interface Progress {
    /** Index of the next data event that the caller needs. */
    next: number;
    completionId?: string;
    firstTokenAt?: number;
    tokens: number;
    resumes: number;
    maybeRan: boolean;
}

/** Runs the attempt. A stream that breaks is resumed on the same group at the next event index. */
export async function attemptOnGroup(
    run: Run<ChatRequest>,
    group: DispatchableGroup,
    attemptId: string,
    traceparent: string,
): Promise<AttemptResult> {
    const { context, lifetime } = run;
    const progress: Progress = { next: 0, tokens: 0, resumes: 0, maybeRan: false };
    const request = engineRequest(run, group, attemptId, traceparent);
    let failure = await relay(run, context.engines.complete(request), progress);
    progress.maybeRan = failure === undefined || !provesNotRun(failure);
    while (failure !== undefined && mayResume(run, failure, progress)) {
        progress.resumes += 1;
        await pause(failure.kind === "not-sent" ? RESUME_DELAY_MILLISECONDS : 0, lifetime.signal);
        failure = await relay(run, resumeOn(run, group, request, progress), progress);
    }
    if (failure !== undefined && progress.maybeRan) {
        context.engines.cancel(group.leaderUrl, attemptId).catch(() => undefined);
    }
    return {
        ...progress,
        failure: failure !== undefined && progress.maybeRan && provesNotRun(failure)
            ? { ...failure, kind: "broken" }
            : failure,
    };
}

function engineRequest(
    run: Run<ChatRequest>,
    group: DispatchableGroup,
    attemptId: string,
    traceparent: string,
): EngineRequest {
    const { context, request, lifetime } = run;
    return {
        url: group.leaderUrl,
        attemptId,
        group: group.group,
        fence: group.fence,
        priority: request.priority,
        body: request.body,
        rawBody: request.rawBody,
        stream: request.stream,
        signal: lifetime.signal,
        traceparent,
        ...(request.idempotencyKey === undefined ? {} : { idempotencyKey: request.idempotencyKey }),
        mayWrite: () => lifetime.reason() === undefined && context.groups.mayDispatch(group.group, group.fence),
        // Half of the time that is left, so that a lost connection leaves time for one more attempt.
        wholeTimeoutMilliseconds: lifetime.remaining() / 2,
    };
}

function resumeOn(
    { context, request: { model } }: Run<ChatRequest>,
    group: DispatchableGroup,
    request: EngineRequest,
    { next, completionId }: Progress,
): AsyncIterable<EngineEvent> {
    // A takeover gives the group a new fencing number while its requests go on.
    const fence = context.groups.dispatchable(model).find(known => known.group === group.group)?.fence ?? group.fence;
    return context.engines.resume({
        ...request,
        fence,
        mayWrite: undefined,
        ...(completionId === undefined ? {} : { completionId }),
    }, next);
}

function mayResume({ request, lifetime }: Run<ChatRequest>, failure: TargetFailure, progress: Progress): boolean {
    const connectionLost = failure.kind === "broken"
        || (failure.kind === "silent" && failure.lost === "connection")
        || (failure.kind === "not-sent" && progress.resumes > 0);
    return request.stream && connectionLost && progress.maybeRan
        && progress.resumes < MAXIMUM_RESUMES && lifetime.reason() === undefined;
}

/** Passes events on to the caller until the answer is complete; returns why it is not. */
async function relay(
    run: Run<ChatRequest>,
    events: AsyncIterable<EngineEvent>,
    progress: Progress,
): Promise<TargetFailure | undefined> {
    const { context, delivery, lifetime } = run;
    for await (const event of events) {
        if (lifetime.signal.aborted && event.kind !== "failure") {
            return { kind: "cancelled", message: "the request was stopped" };
        }
        if (event.kind === "failure") {
            return event.failure;
        }
        if (event.kind === "chunk" && !run.request.stream) {
            return { kind: "failed", message: "the engine streamed an answer that was asked for whole" };
        }
        if (event.kind === "chunk" && event.index > progress.next) {
            return { kind: "broken", message: `stream event ${progress.next} is missing` };
        }
        if (event.kind === "chunk" && event.index === progress.next) {
            progress.firstTokenAt ??= context.clock.monotonic();
            progress.next += 1;
            progress.completionId ??= typeof event.data["id"] === "string" ? event.data["id"] : undefined;
            progress.tokens = tokensOf(event.data) ?? progress.tokens + 1;
            const waiting = delivery.chunk(event.raw ?? JSON.stringify(event.data));
            if (waiting !== undefined) {
                await Promise.race([waiting, lifetime.stopped]);
            }
        }
        if (event.kind === "done") {
            delivery.done();
            return undefined;
        }
        if (event.kind === "whole" && delivery.started()) {
            return { kind: "failed", message: "the engine sent a whole answer in the middle of a stream" };
        }
        if (event.kind === "whole") {
            progress.firstTokenAt ??= context.clock.monotonic();
            progress.tokens = tokensOf(event.body) ?? 0;
            delivery.respond({
                status: event.status,
                headers: { "content-type": "application/json" },
                body: event.raw ?? Buffer.from(JSON.stringify(event.body)),
                outcome: "complete",
            });
            return undefined;
        }
    }
    return { kind: "broken", message: "the answer ended early" };
}

function tokensOf(data: Readonly<Record<string, unknown>>): number | undefined {
    const total = (data["usage"] as { total_tokens?: unknown; } | undefined)?.total_tokens;
    return typeof total === "number" ? total : undefined;
}
