/** HTTP helpers of the operator API: authentication, body parsing and responses. */
import { type Issue, issue, issuesFromZod } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { z } from "zod";
import { createGrowingBuffer } from "../growingbuffer.js";
import { sameSecret } from "../secrets.js";

/** Response of the operator API. `body` is sent as JSON. */
export interface ControlResponse {
    readonly status: number;
    readonly body: unknown;
    readonly retryAfterMilliseconds?: number;
}

/** Creates an error response in the format of the caller API, with all issues found. */
export function errorResponse(
    status: number,
    code: string,
    message: string,
    issues: readonly Issue[] = [],
): ControlResponse {
    return { status, body: { error: { message, type: "control_error", code, param: undefined, issues } } };
}

/** Returns the name of the operator whose token the request carries. Compares digests in constant time. */
export function authenticate(request: IncomingMessage, operators: ReadonlyMap<string, string>): string | undefined {
    const token = /^Bearer (\S+)$/.exec(request.headers.authorization ?? "")?.[1];
    if (token === undefined) {
        return undefined;
    }
    return [...operators].filter(([operatorToken]) => sameSecret(token, operatorToken)).map(([, name]) => name)[0];
}

/** Reads and validates a JSON body. */
export async function readBody<Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
    maximumBytes: number,
): Promise<Result<z.infer<Schema>, ControlResponse>> {
    const body = createGrowingBuffer();
    for await (const chunk of request) {
        if (body.length() + (chunk as Buffer).length > maximumBytes) {
            return Err(errorResponse(413, "body_too_large", `The body is larger than ${maximumBytes} bytes.`));
        }
        body.append(chunk as Buffer);
    }
    return parseBody(body.take().toString("utf8"), schema);
}

/** Writes a response as JSON. */
export function sendResponse(response: ServerResponse, controlResponse: ControlResponse): void {
    const body = JSON.stringify(controlResponse.body);
    const retryAfter = controlResponse.retryAfterMilliseconds;
    response.statusCode = controlResponse.status;
    response.setHeader("content-type", "application/json; charset=utf-8");
    response.setHeader("content-length", Buffer.byteLength(body));
    response.setHeader("cache-control", "no-store");
    if (retryAfter !== undefined) {
        response.setHeader("retry-after", Math.max(1, Math.ceil(retryAfter / 1000)));
    }
    response.end(body);
}

function parseBody<Schema extends z.ZodType>(text: string, schema: Schema): Result<z.infer<Schema>, ControlResponse> {
    const json = parseJson(text);
    if (json.err) {
        return Err(errorResponse(400, "malformed_body", "The body is not valid JSON.", [json.val]));
    }
    const parsed = schema.safeParse(json.val);
    return parsed.success
        ? Ok(parsed.data)
        : Err(errorResponse(400, "malformed_body", "The body has findings.", issuesFromZod(parsed.error)));
}

function parseJson(text: string): Result<unknown, Issue> {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch {
        return Err(issue("malformed_json", [], "is not valid JSON"));
    }
}
