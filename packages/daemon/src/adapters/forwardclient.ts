/** Client for the daemons of other data centres. Forwards a chat completion request once. */
import { type ErrorCode, errorCodes, type Outcome, outcomeSchema } from "@damaskvale/core";
import type { Forwarder, ForwardEvent, ForwardRequest } from "../dispatch/forwarder.js";
import { createGrowingBuffer, type GrowingBuffer } from "../growingbuffer.js";
import { exchange, type ExchangeEvent } from "./exchange.js";
import type { TargetPools } from "./pools.js";
import { type ChunkParser, createChunkParser } from "./ssechunks.js";
import { parseObject } from "./targetanswer.js";

/** Options of the client. */
export interface ForwardClientOptions {
    /** Pools of connections to daemons. */
    readonly pools: TargetPools;
    /** Name of this daemon. */
    readonly daemon: string;
    readonly peerSecret: string;
}

/** Longer than the progress timeouts that the other daemon applies to its engines. */
const IDLE_TIMEOUT_MILLISECONDS = 6_000;
const PROBE_TIMEOUT_MILLISECONDS = 500;
/** Largest answer that is buffered in memory, as of an engine. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;
/** Limits of the value of the deadline header. */
const MINIMUM_DEADLINE_MILLISECONDS = 100;
const MAXIMUM_DEADLINE_MILLISECONDS = 600_000;

type Head = Extract<ExchangeEvent, { kind: "head"; }>;

/** Creates the client. */
export function createForwarder(options: ForwardClientOptions): Forwarder {
    return { forward: request => forwardOnce(options, request) };
}

async function* forwardOnce(options: ForwardClientOptions, request: ForwardRequest): AsyncGenerator<ForwardEvent> {
    const origin = `http://${request.address.replace(/^[a-z]+:\/\//, "").replace(/\/.*$/, "")}`;
    const answer: { head?: Head; readonly body: GrowingBuffer; } = { body: createGrowingBuffer() };
    const chunks = createChunkParser({
        attemptId: request.attemptId,
        fromIndex: 0,
        onForeignData: () => undefined,
    });
    const events = exchange(options.pools, {
        origin,
        method: "POST",
        path: "/v1/chat/completions",
        headers: headersOf(options, request),
        body: request.request.rawBody,
        signal: request.signal,
        mayWrite: request.mayWrite,
        isComplete: chunks.complete,
        idleTimeoutMilliseconds: () => IDLE_TIMEOUT_MILLISECONDS,
    });
    for await (const event of events) {
        if (event.kind === "quiet") {
            // Before the answer starts, the other daemon may hold the request in its queue without sending anything.
            if (!chunks.started() && await isHealthy(options, request, origin)) {
                continue;
            }
            options.pools.replace(origin);
            yield { kind: "failure", failure: { kind: "silent", message: "the other daemon made no progress" } };
            return;
        }
        const produced = eventsOf(event, answer, chunks);
        yield* produced;
        if (produced.some(({ kind }) => kind !== "progress" && kind !== "chunk")) {
            return;
        }
    }
}

function eventsOf(
    event: Exclude<ExchangeEvent, { kind: "quiet"; }>,
    answer: { head?: Head; readonly body: GrowingBuffer; },
    chunks: ChunkParser,
): ForwardEvent[] {
    if (event.kind === "failure") {
        return [event];
    }
    if (event.kind === "head") {
        answer.head = event;
        return [];
    }
    const streamed = (answer.head?.headers["content-type"] ?? "").startsWith("text/event-stream");
    if (event.kind === "end") {
        return streamed
            ? [{ kind: "failure", failure: { kind: "broken", message: "the stream ended without its end marker" } }]
            : [completeAnswerOf(answer.head, answer.body.take())];
    }
    if (streamed) {
        return chunks.feed(event.data).flatMap(found => found.kind === "whole" ? [] : [found]);
    }
    answer.body.append(event.data);
    return answer.body.length() > MAXIMUM_ANSWER_BYTES
        ? [{ kind: "failure", failure: { kind: "broken", message: "the answer of the other daemon is too large" } }]
        : [];
}

function completeAnswerOf(head: Head | undefined, body: Buffer): ForwardEvent {
    const outcome: Outcome = outcomeSchema.catch("unknown").parse(head?.headers["x-damaskvale-outcome"]);
    const error = parseObject(body)?.["error"] as { code?: unknown; message?: unknown; } | undefined;
    const code = typeof error?.code === "string" && Object.hasOwn(errorCodes, error.code)
        ? error.code as ErrorCode
        : undefined;
    const status = head?.status ?? 502;
    if (outcome !== "complete") {
        const retryAfter = Number(head?.headers["retry-after"]);
        return {
            kind: "error",
            error: {
                code: code ?? "target_failed",
                message: typeof error?.message === "string" ? error.message : "The other daemon failed.",
                outcome,
                ...(retryAfter > 0 ? { retryAfterMilliseconds: retryAfter * 1_000, jitter: false } : {}),
            },
        };
    }
    return { kind: "answer", answer: { status, headers: { "content-type": "application/json" }, body, outcome } };
}

function headersOf(
    options: ForwardClientOptions,
    { request, remainingMilliseconds, traceparent }: ForwardRequest,
): Record<string, string> {
    const deadline = Math.floor(remainingMilliseconds);
    return {
        ...peerHeaders(options, request.team.name),
        "content-type": "application/json",
        "x-damaskvale-priority": String(request.priority),
        "x-damaskvale-deadline-ms": String(
            Math.min(MAXIMUM_DEADLINE_MILLISECONDS, Math.max(MINIMUM_DEADLINE_MILLISECONDS, deadline)),
        ),
        ...(request.idempotencyKey === undefined ? {} : { "idempotency-key": request.idempotencyKey }),
        ...(traceparent === undefined || traceparent === "" ? {} : { traceparent }),
    };
}

function peerHeaders({ daemon, peerSecret }: ForwardClientOptions, team: string): Record<string, string> {
    return {
        "authorization": `Bearer ${peerSecret}`,
        "x-damaskvale-forwarded": daemon,
        "x-damaskvale-team": team,
    };
}

function isHealthy(options: ForwardClientOptions, { request }: ForwardRequest, origin: string): Promise<boolean> {
    return options.pools.probe(origin, {
        method: "GET",
        path: "/healthz",
        headers: peerHeaders(options, request.team.name),
        timeoutMilliseconds: PROBE_TIMEOUT_MILLISECONDS,
    });
}
