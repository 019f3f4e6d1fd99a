/** Client of the daemons' HTTP interface for operators. */
import { type Issue, issue, issuesFromZod } from "@damaskvale/core";
import { Err, Ok, type Result } from "ts-results";
import { request } from "undici";
import { z } from "zod";

/** Failure of a call: no daemon responded, or a daemon responded with an error. */
export interface ControlFailure {
    readonly kind: "unreachable" | "refused";
    readonly status?: number;
    readonly code?: string;
    readonly issues: readonly Issue[];
}

/** Base URLs of the daemons to call, in order, and the operator's token. */
export interface ControlClientOptions {
    readonly daemons: readonly string[];
    readonly token: string;
    readonly timeoutMilliseconds: number;
}

/** One call of the operators' interface. */
export interface ControlCall<Schema extends z.ZodType> {
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: unknown;
    readonly schema: Schema;
}

/** Characters that are quoted of an answer that is no JSON. */
const QUOTED_CHARACTERS = 200;

const errorSchema = z.object({
    error: z.object({
        message: z.string(),
        code: z.string(),
        issues: z.array(
            z.object({ code: z.string(), path: z.array(z.union([z.string(), z.number()])), message: z.string() }),
        )
            .default([]),
    }),
});

/**
 * Calls the daemons in turn until one responds. Edits are idempotent because they carry an id, so calling a second
 * daemon after a lost response does not apply an edit twice.
 */
export async function callControl<Schema extends z.ZodType>(
    options: ControlClientOptions,
    call: ControlCall<Schema>,
): Promise<Result<z.infer<Schema>, ControlFailure>> {
    const unreachable: Issue[] = [];
    for (const daemon of options.daemons) {
        const result = await callDaemon(options, daemon, call);
        if (result.ok || result.val.kind === "refused") {
            return result;
        }
        unreachable.push(...result.val.issues);
    }
    return Err({ kind: "unreachable", issues: unreachable });
}

async function callDaemon<Schema extends z.ZodType>(
    options: ControlClientOptions,
    daemon: string,
    call: ControlCall<Schema>,
): Promise<Result<z.infer<Schema>, ControlFailure>> {
    try {
        const response = await request(new URL(call.path, daemon), {
            method: call.method,
            headers: { "authorization": `Bearer ${options.token}`, "content-type": "application/json" },
            body: call.body === undefined ? undefined : JSON.stringify(call.body),
            headersTimeout: options.timeoutMilliseconds,
            bodyTimeout: options.timeoutMilliseconds,
        });
        return parseResponse(response.statusCode, parseJson(await response.body.text()), call.schema);
    }
    catch (error) {
        return Err({ kind: "unreachable", issues: [issue("daemon_unreachable", [daemon], messageOf(error))] });
    }
}

/** Returns the value of a JSON text, or the text itself if it is none, as proxies and other servers send it. */
function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return text;
    }
}

function parseResponse<Schema extends z.ZodType>(
    status: number,
    body: unknown,
    schema: Schema,
): Result<z.infer<Schema>, ControlFailure> {
    if (status === 200) {
        const parsed = schema.safeParse(body);
        return parsed.success
            ? Ok(parsed.data)
            : Err({ kind: "refused", status, code: "malformed_answer", issues: issuesFromZod(parsed.error) });
    }
    const parsed = errorSchema.safeParse(body);
    const { code, message, issues } = parsed.data?.error
        ?? { code: "unknown", message: describeAnswer(status, body), issues: [] };
    return Err({ kind: "refused", status, code, issues: issues.length > 0 ? issues : [issue(code, [], message)] });
}

function describeAnswer(status: number, body: unknown): string {
    const text = typeof body === "string" ? body.trim().slice(0, QUOTED_CHARACTERS) : "";
    return text === "" ? `status ${status}` : `status ${status}: ${text}`;
}

function messageOf(error: unknown): string {
    const { code, message } = error as { code?: string; message?: string; };
    return message || code || String(error);
}
