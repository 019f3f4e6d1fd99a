/** The three outcomes of a request, and the stable error codes with their HTTP status and outcome. */
import { z } from "zod";

/**
 * Schema of an outcome. `not-run` is reported only if no byte of the request reached a target, or the target refused
 * the request before starting it, and no daemon can still dispatch it.
 */
export const outcomeSchema = z.enum(["complete", "not-run", "unknown"]);

/** Outcome of a request as reported to the caller. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** HTTP status, outcome and type of an error code. */
export interface ErrorCodeDefinition {
    readonly status: number;
    readonly outcome: Outcome;
    readonly type: string;
    /** Whether the response carries `Retry-After`. */
    readonly retryAfter: boolean;
}

const clientError = (status: number, type: string): ErrorCodeDefinition => ({
    status,
    outcome: "not-run",
    type,
    retryAfter: false,
});
const overloaded = (status: number): ErrorCodeDefinition => ({
    status,
    outcome: "not-run",
    type: "overloaded_error",
    retryAfter: true,
});
const unknownOutcome = (status: number): ErrorCodeDefinition => ({
    status,
    outcome: "unknown",
    type: "server_error",
    retryAfter: true,
});

/**
 * Every error code that a caller can receive. The outcome applies before dispatch; for `target_failed` and
 * `deadline_exceeded`, it becomes `unknown` once a byte has been written to a target.
 */
export const errorCodes = {
    invalid_api_key: clientError(401, "authentication_error"),
    model_not_allowed: clientError(403, "permission_error"),
    service_not_allowed: clientError(403, "permission_error"),
    model_not_found: clientError(404, "invalid_request_error"),
    service_not_found: clientError(404, "invalid_request_error"),
    route_not_found: clientError(404, "invalid_request_error"),
    method_not_allowed: clientError(405, "invalid_request_error"),
    malformed_body: clientError(400, "invalid_request_error"),
    invalid_header: clientError(400, "invalid_request_error"),
    body_too_large: clientError(413, "invalid_request_error"),
    request_timeout: clientError(408, "invalid_request_error"),
    key_reused: clientError(422, "invalid_request_error"),
    rate_limited: overloaded(429),
    queue_full: overloaded(429),
    no_ready_group: overloaded(503),
    claims_unavailable: overloaded(503),
    shutting_down: overloaded(503),
    request_in_progress: unknownOutcome(409),
    claim_unknown: unknownOutcome(503),
    stream_incomplete: unknownOutcome(502),
    target_failed: { status: 502, outcome: "not-run", type: "server_error", retryAfter: true },
    deadline_exceeded: { status: 504, outcome: "not-run", type: "server_error", retryAfter: true },
    internal_error: { status: 500, outcome: "unknown", type: "server_error", retryAfter: false },
} as const satisfies Record<string, ErrorCodeDefinition>;

/** Stable code of an error that a caller can receive. */
export type ErrorCode = keyof typeof errorCodes;
