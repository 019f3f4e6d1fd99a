/** HTTP client for plain services, which are not engines. */
import { Err, Ok, type Result } from "ts-results";
import { createGrowingBuffer } from "../growingbuffer.js";
import type { TargetFailure } from "../ports/engine.js";
import type { ServiceClient, ServiceRequest, ServiceResponse } from "../ports/service.js";
import { exchange, type ExchangeEvent } from "./exchange.js";
import type { TargetPools } from "./pools.js";
import { belongsToAnotherAttempt, refusalOf } from "./targetanswer.js";

/** Options of the client. */
export interface ServiceClientOptions {
    readonly pools: TargetPools;
    readonly credential: string;
    /** Called for each answer that was dropped because it belongs to another attempt. */
    readonly onForeignData: (url: string, attemptId: string) => void;
    /** Called when an answer did not arrive in time, with what a probe found to be lost. */
    readonly onSilence: (url: string, lost: "connection" | "target") => void;
    readonly probeTimeoutMilliseconds?: number;
    readonly maximumAnswerBytes?: number;
}

/** A healthy target answers a probe within this time. */
const PROBE_TIMEOUT_MILLISECONDS = 500;
/** Largest answer that is buffered in memory. */
const MAXIMUM_ANSWER_BYTES = 16 * 1024 * 1024;

/** Creates the client. Each request is written at most once; the dispatcher decides on retries. */
export function createServiceClient(options: ServiceClientOptions): ServiceClient {
    const reportSilence = async (request: ServiceRequest): Promise<TargetFailure> => {
        const isHealthy = await options.pools.probe(originOf(request.url), {
            method: "HEAD",
            path: "/",
            headers: { authorization: `Bearer ${options.credential}` },
            timeoutMilliseconds: options.probeTimeoutMilliseconds ?? PROBE_TIMEOUT_MILLISECONDS,
        });
        const lost = isHealthy ? "connection" : "target";
        options.pools.replace(originOf(request.url));
        options.onSilence(request.url, lost);
        return { kind: "silent", message: "the service did not answer in time", lost };
    };

    return {
        call: async request => {
            const body = createGrowingBuffer();
            let head: Extract<ExchangeEvent, { kind: "head"; }> | undefined;
            for await (const event of exchange(options.pools, exchangeOf(request, options.credential))) {
                if (event.kind === "quiet") {
                    return Err(await reportSilence(request));
                }
                if (event.kind === "failure") {
                    return Err(event.failure);
                }
                if (event.kind === "head") {
                    head = event;
                }
                if (event.kind === "data") {
                    body.append(event.data);
                }
                if (body.length() > (options.maximumAnswerBytes ?? MAXIMUM_ANSWER_BYTES)) {
                    return Err({ kind: "failed", message: "the answer of the service is too large" });
                }
            }
            return answerOf(request, options, head, body.take());
        },
    };
}

function answerOf(
    request: ServiceRequest,
    options: ServiceClientOptions,
    head: Extract<ExchangeEvent, { kind: "head"; }> | undefined,
    body: Buffer,
): Result<ServiceResponse, TargetFailure> {
    if (head === undefined) {
        return Err({ kind: "broken", message: "the connection ended without an answer" });
    }
    if (belongsToAnotherAttempt(head.headers, request.attemptId)) {
        options.onForeignData(request.url, request.attemptId);
        return Err({ kind: "broken", message: "the answer belongs to another attempt" });
    }
    const refusal = refusalOf(head.status, body);
    return refusal === undefined ? Ok({ status: head.status, headers: head.headers, body }) : Err(refusal);
}

function exchangeOf(request: ServiceRequest, credential: string): Parameters<typeof exchange>[1] {
    const base = new URL(request.url).pathname.replace(/\/$/, "");
    return {
        origin: originOf(request.url),
        method: request.method,
        path: `${base}${request.path}`,
        headers: {
            ...request.headers,
            "authorization": `Bearer ${credential}`,
            "x-attempt-id": request.attemptId,
            ...(request.idempotencyKey === undefined ? {} : { "idempotency-key": request.idempotencyKey }),
            ...(request.traceparent === undefined ? {} : { traceparent: request.traceparent }),
        },
        ...(request.body.length === 0 ? {} : { body: request.body }),
        signal: request.signal,
        ...(request.mayWrite === undefined ? {} : { mayWrite: request.mayWrite }),
        idleTimeoutMilliseconds: () => request.timeoutMilliseconds,
    };
}

function originOf(url: string): string {
    return new URL(url).origin;
}
