/** Small pieces of the operators' HTTP interface: authentication, body parsing and answers. */
import { type Issue, issue, issuesFromZod } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import type { z } from "zod";
import { sameSecret } from "../secrets.js";

/** An answer of the operators' interface. */
export interface ControlAnswer {
    readonly status: number;
    readonly body: unknown;
    readonly retryAfterMilliseconds?: number;
}

/** Makes an error answer in the shape that callers know too, with all findings. */
export function errorAnswer(
    status: number,
    code: string,
    message: string,
    issues: readonly Issue[] = [],
): ControlAnswer {
    return { status, body: { error: { message, type: "control_error", code, param: undefined, issues } } };
}

/** Returns the name of the operator whose token the request carries. Compares digests in constant time. */
export function authenticate(request: IncomingMessage, operators: ReadonlyMap<string, string>): string | undefined {
    const token = /^Bearer (\S+)$/.exec(request.headers.authorization ?? "")?.[1];
    if (token === undefined) {
        return undefined;
    }
    return [...operators].filter(([known]) => sameSecret(token, known)).map(([, name]) => name)[0];
}

/** Reads and checks a JSON body. */
export async function readBody<Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
    maximumBytes: number,
): Promise<Result<z.infer<Schema>, ControlAnswer>> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of request) {
        size += (chunk as Buffer).length;
        if (size > maximumBytes) {
            return Err(errorAnswer(413, "body_too_large", `The body is larger than ${maximumBytes} bytes.`));
        }
        chunks.push(chunk as Buffer);
    }
    return parseBody(Buffer.concat(chunks).toString("utf8"), schema);
}

/** Writes an answer as JSON. */
export function sendAnswer(response: ServerResponse, answer: ControlAnswer): void {
    const body = JSON.stringify(answer.body);
    const retryAfter = answer.retryAfterMilliseconds;
    response.statusCode = answer.status;
    response.setHeader("content-type", "application/json; charset=utf-8");
    response.setHeader("content-length", Buffer.byteLength(body));
    response.setHeader("cache-control", "no-store");
    if (retryAfter !== undefined) {
        response.setHeader("retry-after", Math.max(1, Math.ceil(retryAfter / 1000)));
    }
    response.end(body);
}

function parseBody<Schema extends z.ZodType>(text: string, schema: Schema): Result<z.infer<Schema>, ControlAnswer> {
    const json = parseJson(text);
    if (json.err) {
        return Err(errorAnswer(400, "malformed_body", "The body is not valid JSON.", [json.val]));
    }
    const parsed = schema.safeParse(json.val);
    return parsed.success
        ? Ok(parsed.data)
        : Err(errorAnswer(400, "malformed_body", "The body has findings.", issuesFromZod(parsed.error)));
}

function parseJson(text: string): Result<unknown, Issue> {
    try {
        return Ok(JSON.parse(text) as unknown);
    }
    catch {
        return Err(issue("malformed_json", [], "is not valid JSON"));
    }
}
