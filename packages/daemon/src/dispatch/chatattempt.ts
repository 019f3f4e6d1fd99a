/** One attempt of a chat completion on one group, which resumes the stream after a lost connection. */
import type { EngineEvent, EngineRequest, TargetFailure } from "../ports/engine.js";
import type { DispatchableGroup } from "../ports/groupview.js";
import { isProvenNotRun, sleep } from "./lifetime.js";
import type { Run } from "./run.js";
import type { ChatRequest } from "./types.js";

/** Result of an attempt. Without a failure, the complete response was delivered. */
export interface AttemptResult {
    readonly failure?: TargetFailure;
    readonly tokens: number;
    /** Monotonic time of the first part of the response, in milliseconds. */
    readonly firstTokenAt?: number;
    readonly resumes: number;
    /** Whether the target may have run any part of the request. */
    readonly mayHaveRun: boolean;
}

/** Maximum resumptions of one attempt. A path that loses more connections than this is not expected to finish. */
const MAXIMUM_RESUMES = 3;
/** Delay before the next resumption if the previous one could not connect. */
const RESUME_DELAY_MILLISECONDS = 100;

interface Progress {
    /** Index of the next data event to deliver to the caller. */
    nextIndex: number;
    completionId?: string;
    firstTokenAt?: number;
    tokens: number;
    resumes: number;
    mayHaveRun: boolean;
}

/** Runs the attempt. A stream whose connection is lost is resumed on the same group at the next event index. */
export async function attemptOnGroup(
    run: Run<ChatRequest>,
    group: DispatchableGroup,
    attemptId: string,
    traceparent: string,
): Promise<AttemptResult> {
    const { context, lifetime } = run;
    const progress: Progress = { nextIndex: 0, tokens: 0, resumes: 0, mayHaveRun: false };
    const request = engineRequest(run, group, attemptId, traceparent);
    let failure = await relayEvents(run, context.engines.complete(request), progress);
    progress.mayHaveRun = failure === undefined || !isProvenNotRun(failure);
    while (failure !== undefined && mayResume(run, failure, progress)) {
        progress.resumes += 1;
        await sleep(failure.kind === "not-sent" ? RESUME_DELAY_MILLISECONDS : 0, lifetime.signal);
        failure = await relayEvents(run, resumeStream(run, group, request, progress), progress);
    }
    if (failure !== undefined && progress.mayHaveRun) {
        context.engines.cancel(group.leaderUrl, attemptId).catch(() => undefined);
    }
    return {
        ...progress,
        failure: failure !== undefined && progress.mayHaveRun && isProvenNotRun(failure)
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
        // Half of the remaining time, so that another attempt can follow if the connection is lost.
        nonStreamingTimeoutMilliseconds: lifetime.remainingMilliseconds() / 2,
    };
}

function resumeStream(
    { context, request: { model } }: Run<ChatRequest>,
    group: DispatchableGroup,
    request: EngineRequest,
    { nextIndex, completionId }: Progress,
): AsyncIterable<EngineEvent> {
    // A takeover changes the fencing token of the group while its requests keep running.
    const fence = context.groups.dispatchable(model).find(known => known.group === group.group)?.fence ?? group.fence;
    return context.engines.resume({
        ...request,
        fence,
        mayWrite: undefined,
        ...(completionId === undefined ? {} : { completionId }),
    }, nextIndex);
}

function mayResume({ request, lifetime }: Run<ChatRequest>, failure: TargetFailure, progress: Progress): boolean {
    const connectionLost = failure.kind === "broken"
        || (failure.kind === "silent" && failure.lost === "connection")
        || (failure.kind === "not-sent" && progress.resumes > 0);
    return request.stream && connectionLost && progress.mayHaveRun
        && progress.resumes < MAXIMUM_RESUMES && lifetime.reason() === undefined;
}

/** Passes events to the caller. Returns `undefined` once the response is complete, or why it is incomplete. */
async function relayEvents(
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
        if (event.kind === "chunk" && event.index > progress.nextIndex) {
            return { kind: "broken", message: `stream event ${progress.nextIndex} is missing` };
        }
        if (event.kind === "chunk" && event.index === progress.nextIndex) {
            progress.firstTokenAt ??= context.clock.monotonic();
            progress.nextIndex += 1;
            progress.completionId ??= typeof event.data["id"] === "string" ? event.data["id"] : undefined;
            progress.tokens = totalTokens(event.data) ?? progress.tokens + 1;
            const drained = delivery.chunk(event.raw ?? JSON.stringify(event.data));
            if (drained !== undefined) {
                await Promise.race([drained, lifetime.stopped]);
            }
        }
        if (event.kind === "done") {
            delivery.done();
            return undefined;
        }
        if (event.kind === "whole" && delivery.streamStarted()) {
            return { kind: "failed", message: "the engine sent a whole answer in the middle of a stream" };
        }
        if (event.kind === "whole") {
            progress.firstTokenAt ??= context.clock.monotonic();
            progress.tokens = totalTokens(event.body) ?? 0;
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

function totalTokens(data: Readonly<Record<string, unknown>>): number | undefined {
    const total = (data["usage"] as { total_tokens?: unknown; } | undefined)?.total_tokens;
    return typeof total === "number" ? total : undefined;
}
