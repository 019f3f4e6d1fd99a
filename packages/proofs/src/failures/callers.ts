/** Callers of the failure tests, which record the answers that they receive. */
import { createParser } from "eventsource-parser";
import { randomUUID } from "node:crypto";

/** Endpoint that takes the requests of callers. */
export interface Endpoint {
    readonly url: string;
}

/** Result of a request as its caller sees it. `status` is 0 if the connection ended without an answer. */
export interface CallerResult {
    readonly status: number;
    readonly outcome?: string;
    readonly requestId?: string;
    readonly code?: string;
    readonly retryAfterSeconds?: number;
    readonly text: string;
    readonly milliseconds: number;
}

/** Result of a chat completion as its caller sees it. */
export interface ChatResult extends CallerResult {
    /** Whether the answer is complete: the whole body, or a stream with its end marker. */
    readonly finished: boolean;
}

/** Change request to a service; it must not be executed twice. */
export interface Change {
    readonly key: string;
    readonly body?: unknown;
    readonly deadlineMilliseconds?: number;
}

/** Chat completion request of a test. */
export interface ChatRequest {
    readonly stream?: boolean;
    readonly maxTokens?: number;
    readonly prompt?: string;
    readonly deadlineMilliseconds?: number;
    readonly model?: string;
    /** Called for each data event of a stream with the number of events so far. */
    readonly onEvent?: (count: number) => void;
}

/** Caller key of the team of all failure tests. */
export const CALLER_KEY = "key-of-the-failure-tests";
/** Model of the failure tests. */
export const MODEL = "certification-notes";
/** Service of the failure tests. */
export const SERVICE = "fee-receipts";

const CALLER_TIMEOUT_MILLISECONDS = 30_000;

/** Sends a change request that is not repeatable. */
export async function sendChange({ url }: Endpoint, change: Change): Promise<CallerResult> {
    const { key, body = { fee: "ZAR 95" }, deadlineMilliseconds } = change;
    const startedAt = performance.now();
    try {
        const response = await fetch(`${url}/services/${SERVICE}/receipts`, {
            method: "POST",
            headers: { ...headersOf(deadlineMilliseconds), "idempotency-key": key },
            body: JSON.stringify(body),
            signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS),
        });
        return resultOf(response, await response.text(), startedAt);
    }
    catch (error) {
        return resultOfError(error, startedAt);
    }
}

/** Sends a chat completion and reads its answer to the end. */
export async function sendChat({ url }: Endpoint, request: ChatRequest = {}): Promise<ChatResult> {
    const { stream = false, maxTokens = 10, prompt = randomUUID(), deadlineMilliseconds, model = MODEL } = request;
    const startedAt = performance.now();
    try {
        const response = await fetch(`${url}/v1/chat/completions`, {
            method: "POST",
            headers: headersOf(deadlineMilliseconds),
            body: JSON.stringify({
                model,
                stream,
                max_tokens: maxTokens,
                messages: [{ role: "user", content: prompt }],
            }),
            signal: AbortSignal.timeout(CALLER_TIMEOUT_MILLISECONDS),
        });
        if (stream && response.ok) {
            return await readStream(response, startedAt, request.onEvent);
        }
        const result = resultOf(response, await response.text(), startedAt);
        return { ...result, text: response.ok ? contentOf(result.text) : result.text, finished: response.ok };
    }
    catch (error) {
        return { ...resultOfError(error, startedAt), finished: false };
    }
}

async function readStream(
    response: Response,
    startedAt: number,
    onEvent: (count: number) => void = () => undefined,
): Promise<ChatResult> {
    const deltas: string[] = [];
    let code: string | undefined;
    let finished = false;
    let count = 0;
    const parser = createParser({
        onEvent: ({ data }) => {
            if (data === "[DONE]") {
                finished = true;
                return;
            }
            const event = JSON.parse(data) as {
                choices?: { delta: { content?: string; }; }[];
                error?: { code: string; };
            };
            deltas.push(event.choices?.[0]?.delta.content ?? "");
            code = event.error?.code ?? code;
            count += 1;
            onEvent(count);
        },
    });
    const decoder = new TextDecoder();
    try {
        for await (const bytes of response.body!) {
            parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
        }
    }
    catch {
        finished = false;
    }
    return { ...resultOf(response, deltas.join(""), startedAt), code, finished };
}

function headersOf(deadlineMilliseconds: number | undefined): Record<string, string> {
    return {
        "authorization": `Bearer ${CALLER_KEY}`,
        "content-type": "application/json",
        ...(deadlineMilliseconds === undefined ? {} : { "x-damaskvale-deadline-ms": String(deadlineMilliseconds) }),
    };
}

function resultOf(response: Response, text: string, startedAt: number): CallerResult {
    const retryAfter = response.headers.get("retry-after");
    return {
        status: response.status,
        outcome: response.headers.get("x-damaskvale-outcome") ?? undefined,
        requestId: response.headers.get("x-damaskvale-request-id") ?? undefined,
        code: response.ok ? undefined : codeOf(text),
        retryAfterSeconds: retryAfter ? Number(retryAfter) : undefined,
        text,
        milliseconds: performance.now() - startedAt,
    };
}

function resultOfError(error: unknown, startedAt: number): CallerResult {
    return { status: 0, text: String(error), milliseconds: performance.now() - startedAt };
}

function codeOf(text: string): string | undefined {
    try {
        return (JSON.parse(text) as { error?: { code?: string; }; }).error?.code;
    }
    catch {
        return undefined;
    }
}

function contentOf(text: string): string {
    const answer = JSON.parse(text) as { choices: { message: { content: string; }; }[]; };
    return answer.choices[0]!.message.content;
}
