/** Validates the fields of chat completion bodies that routing needs. The engine validates all other fields. */
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import type { CallerError } from "../dispatch/types.js";

/** Validated body of a chat completion request. */
export interface ChatBody {
    readonly model: string;
    readonly stream: boolean;
    readonly body: Readonly<Record<string, unknown>>;
}

const chatBodySchema = z.looseObject({
    model: z.string().min(1).max(256),
    messages: z.array(z.looseObject({ role: z.string() })).min(1),
    stream: z.boolean().nullish(),
    n: z.number().int().min(1).max(128).nullish(),
});

/** Validates a chat completion body. */
export function safeParseChatBody(bytes: Buffer): Result<ChatBody, CallerError> {
    const value = parseJson(bytes);
    if (value === undefined) {
        return Err({ code: "malformed_body", message: "The body is not a JSON text in UTF-8." });
    }
    const parsed = chatBodySchema.safeParse(value);
    if (!parsed.success) {
        const [firstIssue] = parsed.error.issues;
        const param = firstIssue?.path.join(".") ?? "";
        return Err({ code: "malformed_body", message: `Field ${param || "body"}: ${firstIssue?.message}.`, param });
    }
    const { model, stream, n } = parsed.data;
    if (stream === true && (n ?? 1) > 1) {
        return Err({ code: "malformed_body", message: "A streamed answer has one choice.", param: "n" });
    }
    return Ok({ model, stream: stream === true, body: value as Record<string, unknown> });
}

function parseJson(bytes: Buffer): unknown {
    try {
        return JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
    }
    catch {
        return undefined;
    }
}
