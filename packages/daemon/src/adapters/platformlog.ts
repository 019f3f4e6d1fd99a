/** HTTP client for the platform's log. */
import { entrySchema } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import { Agent, type Dispatcher, errors, request } from "undici";
import { z } from "zod";
import { createGrowingBuffer } from "../growingbuffer.js";
import type { LogFailure, LogPage, PlatformLog } from "../ports/platformlog.js";

/** Options of the client. */
export interface PlatformLogOptions {
    /** Base URL of the platform. */
    readonly url: string;
    readonly connectTimeoutMilliseconds?: number;
    /** Longest wait for an answer, in addition to the requested wait of a read. */
    readonly answerTimeoutMilliseconds?: number;
}

/** Client for the platform's log. `close` destroys its connections. */
export interface PlatformLogAdapter extends PlatformLog {
    close(): Promise<void>;
}

const DEFAULT_CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_ANSWER_TIMEOUT_MILLISECONDS = 1_500;
const MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

const appendedSchema = z.object({ offset: z.number().int().nonnegative() });
const pageSchema = z.object({
    firstOffset: z.number().int().nonnegative(),
    nextOffset: z.number().int().nonnegative(),
    entries: z.array(entrySchema),
});

interface Answer {
    readonly status: number;
    readonly retryAfterMilliseconds?: number;
    readonly body: unknown;
}

interface Call {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: string;
    readonly timeoutMilliseconds: number;
    readonly signal?: AbortSignal;
}

/** Creates the client. Connections are kept alive; a timeout replaces the connection. */
export function createPlatformLog(options: PlatformLogOptions): PlatformLogAdapter {
    const answerTimeout = options.answerTimeoutMilliseconds ?? DEFAULT_ANSWER_TIMEOUT_MILLISECONDS;
    const agent = new Agent({
        connect: { timeout: options.connectTimeoutMilliseconds ?? DEFAULT_CONNECT_TIMEOUT_MILLISECONDS },
        pipelining: 1,
    });
    const streamUrl = (stream: string) => `${options.url.replace(/\/$/, "")}/log/${encodeURIComponent(stream)}`;

    return {
        append: async (stream, value) => {
            const answer = await send(agent, {
                method: "POST",
                path: `${streamUrl(stream)}/append`,
                body: JSON.stringify({ value }),
                timeoutMilliseconds: answerTimeout,
            });
            return answer.andThen(parseAppended);
        },
        read: async (stream, from, { limit, waitMilliseconds, signal }) => {
            const answer = await send(agent, {
                method: "GET",
                path: `${streamUrl(stream)}/entries?from=${from}&limit=${limit}&waitMs=${waitMilliseconds}`,
                timeoutMilliseconds: waitMilliseconds + answerTimeout,
                signal,
            });
            return answer.andThen(parsePage);
        },
        close: () => agent.destroy(),
    };
}

async function send(dispatcher: Dispatcher, call: Call): Promise<Result<Answer, LogFailure>> {
    const timeout = AbortSignal.timeout(call.timeoutMilliseconds);
    try {
        const { statusCode, headers, body } = await request(call.path, {
            dispatcher,
            method: call.method,
            body: call.body,
            headers: call.body === undefined ? {} : { "content-type": "application/json" },
            signal: call.signal === undefined ? timeout : AbortSignal.any([timeout, call.signal]),
        });
        const text = await readText(body);
        const retryAfter = Number(headers["retry-after"]);
        return Ok({
            status: statusCode,
            body: parseJson(text),
            ...(Number.isFinite(retryAfter) ? { retryAfterMilliseconds: retryAfter * 1000 } : {}),
        });
    }
    catch (error) {
        return Err(failureOf(error as Error));
    }
}

async function readText(body: Dispatcher.ResponseData["body"]): Promise<string> {
    const text = createGrowingBuffer();
    for await (const part of body as AsyncIterable<Buffer>) {
        if (text.length() + part.length > MAXIMUM_ANSWER_BYTES) {
            throw new Error("the answer is too large");
        }
        text.append(part);
    }
    return text.take().toString();
}

/**
 * A request is known not to have been sent only if connecting failed. The same error code on an open connection does not
 * show whether the request was sent, so the failing system call decides.
 */
function failureOf(error: Error & { syscall?: string; }): LogFailure {
    const notSent = error.syscall === "connect" || error instanceof errors.ConnectTimeoutError;
    return { kind: notSent ? "refused" : "ambiguous", message: error.message };
}

/** The platform itself refuses with 429 and 503. Any other server error may occur after the append took effect. */
function parseAppended({ status, body, retryAfterMilliseconds }: Answer): Result<number, LogFailure> {
    const appended = appendedSchema.safeParse(body);
    if (status < 300 && appended.success) {
        return Ok(appended.data.offset);
    }
    const refused = status === 503 || (status >= 400 && status < 500 && status !== 408);
    return Err({
        kind: refused ? "refused" : "ambiguous",
        message: `the platform answered ${status}`,
        retryAfterMilliseconds,
    });
}

function parsePage({ status, body, retryAfterMilliseconds }: Answer): Result<LogPage, LogFailure> {
    const page = pageSchema.safeParse(body);
    return status < 300 && page.success
        ? Ok(page.data)
        : Err({
            kind: "refused",
            message: `the platform answered ${status} to a read`,
            retryAfterMilliseconds,
        });
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}
