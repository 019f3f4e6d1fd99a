/** The three outcomes of a request, and the stable error codes with their HTTP status and outcome. */
import { z } from "zod";

/**
 * Schema of an outcome. `not-run` is said only if no byte of the request reached a target, or the target itself
 * refused before starting, and no daemon can still dispatch the request.
 */
export const outcomeSchema = z.enum(["complete", "not-run", "unknown"]);

/** Outcome of a request as told to its caller. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** What an error code means to a caller. */
export interface ErrorCodeDefinition {
    readonly status: number;
    readonly outcome: Outcome;
    readonly type: string;
    /** Whether the response carries `Retry-After`. */
    readonly retryAfter: boolean;
}

const refusal = (status: number, type: string): ErrorCodeDefinition => ({
    status,
    outcome: "not-run",
    type,
    retryAfter: false,
});
const busy = (status: number): ErrorCodeDefinition => ({
    status,
    outcome: "not-run",
    type: "overloaded_error",
    retryAfter: true,
});
const doubtful = (status: number): ErrorCodeDefinition => ({
    status,
    outcome: "unknown",
    type: "server_error",
    retryAfter: true,
});

/**
 * Every error code that a caller can see. The outcome is the one before dispatch; `target_failed` and
 * `deadline_exceeded` become `unknown` once a byte was written to a target.
 */
export const errorCodes = {
    invalid_api_key: refusal(401, "authentication_error"),
    model_not_allowed: refusal(403, "permission_error"),
    service_not_allowed: refusal(403, "permission_error"),
    model_not_found: refusal(404, "invalid_request_error"),
    service_not_found: refusal(404, "invalid_request_error"),
    route_not_found: refusal(404, "invalid_request_error"),
    method_not_allowed: refusal(405, "invalid_request_error"),
    malformed_body: refusal(400, "invalid_request_error"),
    invalid_header: refusal(400, "invalid_request_error"),
    body_too_large: refusal(413, "invalid_request_error"),
    request_timeout: refusal(408, "invalid_request_error"),
    key_reused: refusal(422, "invalid_request_error"),
    rate_limited: busy(429),
    queue_full: busy(429),
    no_ready_group: busy(503),
    claims_unavailable: busy(503),
    shutting_down: busy(503),
    request_in_progress: doubtful(409),
    claim_unknown: doubtful(503),
    stream_incomplete: doubtful(502),
    target_failed: { status: 502, outcome: "not-run", type: "server_error", retryAfter: true },
    deadline_exceeded: { status: 504, outcome: "not-run", type: "server_error", retryAfter: true },
    internal_error: { status: 500, outcome: "unknown", type: "server_error", retryAfter: false },
} as const satisfies Record<string, ErrorCodeDefinition>;

/** Stable code of an error that a caller can see. */
export type ErrorCode = keyof typeof errorCodes;
