/** Parses and validates the request headers of callers. */
import type { RowOf } from "@damaskvale/core";
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import type { CallerError } from "../dispatch/types.js";
import type { TableView } from "../ports/tableview.js";

/** Values of the request headers. */
export interface RequestHeaders {
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    readonly idempotencyKey?: string;
    readonly traceparent?: string;
}

/** Deadline of a request without the `x-damaskvale-deadline-ms` header. */
export const DEFAULT_DEADLINE_MILLISECONDS = 120_000;
const DEFAULT_PRIORITY = 5;

const integerHeader = (minimum: number, maximum: number) =>
    z.string().regex(/^\d{1,6}$/, "must be a whole number").transform(Number).pipe(
        z.number().min(minimum, `must be at least ${minimum}`).max(maximum, `must be at most ${maximum}`),
    );

const headersSchema = z.object({
    "x-damaskvale-priority": integerHeader(0, 9).default(DEFAULT_PRIORITY),
    "x-damaskvale-deadline-ms": integerHeader(100, 600_000).default(DEFAULT_DEADLINE_MILLISECONDS),
    "idempotency-key": z.string().regex(/^[\x20-\x7e]{1,255}$/, "must be 1 to 255 printable ASCII characters")
        .optional(),
    "content-encoding": z.literal("identity", "must be identity").optional(),
    "transfer-encoding": z.literal("chunked", "must be chunked").optional(),
});

/** Headers that may occur only once, because HTTP defines no meaning for their repetition. */
const singleHeaders = [...Object.keys(headersSchema.shape), "authorization", "content-length", "content-type", "host"];
const traceparentPattern = /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/;

/** Validates the headers of a request. An invalid `traceparent` is ignored, as W3C Trace Context requires. */
export function parseHeaders(request: IncomingMessage): Result<RequestHeaders, CallerError> {
    const repeated = singleHeaders.find(name => (request.headersDistinct[name]?.length ?? 0) > 1);
    if (repeated !== undefined) {
        return Err({ code: "invalid_header", message: `Header ${repeated} is repeated.`, param: repeated });
    }
    const parsed = headersSchema.safeParse(request.headers);
    if (!parsed.success) {
        const [firstIssue] = parsed.error.issues;
        const name = String(firstIssue?.path[0]);
        return Err({ code: "invalid_header", message: `Header ${name} ${firstIssue?.message}.`, param: name });
    }
    const traceparent = request.headers["traceparent"];
    return Ok({
        priority: parsed.data["x-damaskvale-priority"],
        deadlineMilliseconds: parsed.data["x-damaskvale-deadline-ms"],
        idempotencyKey: parsed.data["idempotency-key"],
        ...(typeof traceparent === "string" && traceparentPattern.test(traceparent) ? { traceparent } : {}),
    });
}

/** Returns the bearer token of the `authorization` header, or `undefined`. */
export function bearerToken(request: IncomingMessage): string | undefined {
    return /^Bearer ([\x21-\x7e]{1,512})$/i.exec(request.headers.authorization ?? "")?.[1];
}

/** Finds the team of a request by the SHA-256 of its API key. */
export function authenticate(request: IncomingMessage, table: TableView): Result<RowOf<"team">, CallerError> {
    const token = bearerToken(request);
    const team = token === undefined
        ? undefined
        : table.teamByKeyHash(createHash("sha256").update(token).digest("hex"));
    return team === undefined
        ? Err({ code: "invalid_api_key", message: "The API key is missing or unknown." })
        : Ok(team);
}
