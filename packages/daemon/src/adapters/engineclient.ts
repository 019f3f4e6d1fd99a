/** HTTP client for the engines on target hosts. */
import { reportSchema } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import { createGrowingBuffer, type GrowingBuffer } from "../growingbuffer.js";
import type { EngineClient, EngineEvent, EngineRequest, TargetFailure } from "../ports/engine.js";
import { exchange, type ExchangeEvent, type ExchangeRequest } from "./exchange.js";
import type { TargetPools } from "./pools.js";
import { createChunkParser } from "./ssechunks.js";
import { belongsToAnotherAttempt, parseObject, refusalOf } from "./targetanswer.js";

/** Options of the client. Times in milliseconds. */
export interface EngineClientOptions {
    readonly pools: TargetPools;
    readonly credential: string;
    /** Called for each event or answer that was dropped because it belongs to another attempt. */
    readonly onForeignData: (url: string, attemptId: string) => void;
    /** Called when a connection made no progress in time, with what a probe found to be lost. */
    readonly onSilence: (url: string, lost: "connection" | "target") => void;
    readonly firstTokenTimeoutMilliseconds?: number;
    readonly tokenTimeoutMilliseconds?: number;
    readonly probeTimeoutMilliseconds?: number;
}

/** Longest time without progress before the first byte of an answer. */
export const FIRST_TOKEN_TIMEOUT_MILLISECONDS = 5_000;
/** Longest time without progress between bytes of a streamed answer. */
export const TOKEN_TIMEOUT_MILLISECONDS = 2_000;
/** A healthy engine returns its report within this time. */
const PROBE_TIMEOUT_MILLISECONDS = 500;
/** Timeout of a cancellation. If it fails, the engine still ends the attempt when its connection closes. */
const CANCEL_TIMEOUT_MILLISECONDS = 1_000;
/** Largest answer without streaming that is buffered in memory. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
/** Largest answer to a control call. The largest is a report, of some kilobytes. */
const MAXIMUM_CONTROL_BYTES = 1024 * 1024;
/** Statuses with which an engine rejects the content of a request; these answers are returned to the caller. */
const CALLER_ERROR_STATUSES: readonly number[] = [400, 413, 422];

/** Creates the client. Each request is written at most once; the dispatcher decides on retries. */
export function createEngineClient(options: EngineClientOptions): EngineClient {
    const authorization = { authorization: `Bearer ${options.credential}` };
    return {
        report: async (url, timeoutMilliseconds) => {
            const answer = await callControl(options, { url, method: "GET", path: "/report", timeoutMilliseconds });
            return answer.andThen(({ body }) => {
                const parsed = reportSchema.safeParse(parseObject(body));
                return parsed.success
                    ? Ok(parsed.data)
                    : Err<TargetFailure>({ kind: "failed", message: "the report of the engine does not parse" });
            });
        },
        order: async (url, order, timeoutMilliseconds) => {
            const body = JSON.stringify(order);
            const answer = await callControl(options, {
                url,
                method: "POST",
                path: "/orders",
                body,
                timeoutMilliseconds,
            });
            return answer.map(() => undefined);
        },
        complete: request =>
            runAttempt(options, request, {
                method: "POST",
                path: "/v1/chat/completions",
                body: request.rawBody ?? JSON.stringify(request.body),
                headers: { ...authorization, ...attemptHeaders(request), "content-type": "application/json" },
            }, 0),
        resume: (request, fromIndex) =>
            runAttempt(options, request, {
                method: "GET",
                path: `/attempts/${encodeURIComponent(request.attemptId)}/stream?from=${fromIndex}`,
                headers: { ...authorization, ...attemptHeaders(request) },
            }, fromIndex),
        cancel: async (url, attemptId) => {
            const path = `/attempts/${encodeURIComponent(attemptId)}`;
            await callControl(options, {
                url,
                method: "DELETE",
                path,
                timeoutMilliseconds: CANCEL_TIMEOUT_MILLISECONDS,
            });
        },
    };
}

/** Fields of an exchange that differ between a new and a resumed stream. */
type AttemptCall = Pick<ExchangeRequest, "method" | "path" | "headers" | "body">;

async function* runAttempt(
    options: EngineClientOptions,
    request: EngineRequest,
    call: AttemptCall,
    fromIndex: number,
): AsyncGenerator<EngineEvent> {
    const origin = new URL(request.url).origin;
    const firstToken = options.firstTokenTimeoutMilliseconds ?? FIRST_TOKEN_TIMEOUT_MILLISECONDS;
    const token = options.tokenTimeoutMilliseconds ?? TOKEN_TIMEOUT_MILLISECONDS;
    const chunks = createChunkParser({
        attemptId: request.attemptId,
        fromIndex,
        completionId: request.completionId,
        onForeignData: () => options.onForeignData(request.url, request.attemptId),
    });
    const answer = createAnswer();
    const idle = { milliseconds: 0 };
    const currentIdleTimeout = (): number => chunks.started() ? token : firstToken;
    const events = exchange(options.pools, {
        ...call,
        origin,
        signal: request.signal,
        idleTimeoutMilliseconds: currentIdleTimeout,
        isComplete: chunks.complete,
        ...(request.mayWrite === undefined ? {} : { mayWrite: request.mayWrite }),
    });

    for await (const event of events) {
        if (event.kind === "failure") {
            yield event;
            return;
        }
        if (event.kind === "quiet") {
            idle.milliseconds += currentIdleTimeout();
            const lost = await findLostPart(options, origin);
            const limit = request.stream ? 0 : request.nonStreamingTimeoutMilliseconds ?? 0;
            if (lost === "connection" && idle.milliseconds < limit) {
                continue;
            }
            options.pools.replace(origin);
            options.onSilence(request.url, lost);
            yield failure({ kind: "silent", message: "the engine made no progress in time", lost });
            return;
        }
        const produced = eventsOf(event, request, answer, chunks, options);
        yield* produced;
        if (produced.some(({ kind }) => kind === "done" || kind === "whole" || kind === "failure")) {
            return;
        }
    }
}

interface Answer {
    head?: Extract<ExchangeEvent, { kind: "head"; }>;
    readonly body: GrowingBuffer;
}

const createAnswer = (): Answer => ({ body: createGrowingBuffer() });

function eventsOf(
    event: Exclude<ExchangeEvent, { kind: "failure" | "quiet"; }>,
    request: EngineRequest,
    answer: Answer,
    chunks: ReturnType<typeof createChunkParser>,
    options: EngineClientOptions,
): EngineEvent[] {
    if (event.kind === "head") {
        answer.head = event;
        if (belongsToAnotherAttempt(event.headers, request.attemptId)) {
            options.onForeignData(request.url, request.attemptId);
            return [failure({ kind: "broken", message: "the answer belongs to another attempt" })];
        }
        return [{ kind: "progress" }];
    }
    const streamed = answer.head?.status === 200
        && (answer.head.headers["content-type"] ?? "").startsWith("text/event-stream");
    if (event.kind === "end") {
        return streamed
            ? [failure({ kind: "broken", message: "the stream ended without its end marker" })]
            : [completeAnswerOf(answer)];
    }
    if (streamed) {
        return chunks.feed(event.data);
    }
    answer.body.append(event.data);
    return answer.body.length() > MAXIMUM_ANSWER_BYTES
        ? [failure({ kind: "failed", message: "the answer of the engine is too large" })]
        : [{ kind: "progress" }];
}

function completeAnswerOf({ head, body }: Answer): EngineEvent {
    const raw = body.take();
    const status = head?.status ?? 0;
    const refusal = refusalOf(status, raw);
    if (refusal !== undefined) {
        return failure(refusal);
    }
    const parsed = parseObject(raw);
    if (parsed !== undefined && (status === 200 || CALLER_ERROR_STATUSES.includes(status))) {
        return { kind: "whole", status, body: parsed, raw };
    }
    return failure({ kind: "failed", status, message: `the engine answered with status ${status}` });
}

/** Probes twice, so that one slow report of a busy engine does not end an answer in progress. */
async function findLostPart(options: EngineClientOptions, origin: string): Promise<"connection" | "target"> {
    const probe = (): Promise<boolean> =>
        options.pools.probe(origin, {
            method: "GET",
            path: "/report",
            headers: { authorization: `Bearer ${options.credential}` },
            timeoutMilliseconds: options.probeTimeoutMilliseconds ?? PROBE_TIMEOUT_MILLISECONDS,
        });
    return await probe() || await probe() ? "connection" : "target";
}

/** A control call. One timeout covers the whole call. */
interface ControlCall {
    readonly url: string;
    readonly method: string;
    readonly path: string;
    readonly body?: string;
    readonly timeoutMilliseconds: number;
}

async function callControl(
    options: EngineClientOptions,
    call: ControlCall,
): Promise<Result<{ body: Buffer; }, TargetFailure>> {
    const deadline = AbortSignal.timeout(call.timeoutMilliseconds);
    const answer = createAnswer();
    const events = exchange(options.pools, {
        origin: new URL(call.url).origin,
        method: call.method,
        path: call.path,
        headers: {
            authorization: `Bearer ${options.credential}`,
            ...(call.body === undefined ? {} : { "content-type": "application/json" }),
        },
        body: call.body,
        signal: deadline,
        idleTimeoutMilliseconds: () => call.timeoutMilliseconds,
    });
    for await (const event of events) {
        if (event.kind === "failure" || event.kind === "quiet") {
            const late = deadline.aborted || event.kind === "quiet";
            const given = event.kind === "failure" ? event.failure : undefined;
            return Err(
                late && given?.kind !== "not-sent"
                    ? { kind: "silent", message: "the engine did not answer in time" }
                    : given ?? { kind: "silent", message: "the engine did not answer in time" },
            );
        }
        if (event.kind === "head") {
            answer.head = event;
        }
        if (event.kind === "data") {
            answer.body.append(event.data);
        }
        if (answer.body.length() > MAXIMUM_CONTROL_BYTES) {
            return Err({ kind: "broken", message: "the answer of the engine is too large" });
        }
    }
    const status = answer.head?.status ?? 0;
    const kind = status === 409 ? "refused" : "failed";
    return status === 200
        ? Ok({ body: answer.body.take() })
        : Err({ kind, status, message: `the engine answered with status ${status}` });
}

function attemptHeaders(request: EngineRequest): Record<string, string> {
    return {
        "x-attempt-id": request.attemptId,
        "x-group": request.group,
        "x-fence": String(request.fence),
        "x-priority": String(request.priority),
        ...(request.idempotencyKey === undefined ? {} : { "idempotency-key": request.idempotencyKey }),
        ...(request.traceparent === undefined ? {} : { traceparent: request.traceparent }),
    };
}

const failure = (given: TargetFailure): EngineEvent => ({ kind: "failure", failure: given });
