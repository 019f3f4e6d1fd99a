/** Errors that the dispatcher returns to callers. */
import { errorCodes } from "@damaskvale/core";
import type { Lifetime } from "./lifetime.js";
import type { CallerError } from "./types.js";

/** Default base of `Retry-After` for errors that state no time: about the duration of a failover. */
const RETRY_AFTER_MILLISECONDS = 2_000;

/** Adds a `Retry-After` with jitter to an error, so that refused callers do not all retry at the same time. */
export function withRetryAfter(error: CallerError, random: () => number): CallerError {
    if (!errorCodes[error.code].retryAfter || error.jitter === false) {
        return error;
    }
    const base = error.retryAfterMilliseconds ?? RETRY_AFTER_MILLISECONDS;
    return { ...error, retryAfterMilliseconds: base * (1 + random()) };
}

/** Returns the error of a stopped request. `mayHaveRun` says whether a target may have run it. */
export function stoppedError(lifetime: Lifetime, mayHaveRun: boolean): CallerError {
    const outcome = mayHaveRun ? "unknown" : "not-run";
    return lifetime.reason() === "cut"
        ? { code: "shutting_down", message: "The daemon stopped before the request was finished.", outcome }
        : { code: "deadline_exceeded", message: "The deadline of the request has passed.", outcome };
}

/** Returns the error of a request for a model that has no dispatchable group. */
export function noReadyGroupError(model: string): CallerError {
    return { code: "no_ready_group", message: `No replica group of model ${model} is ready.` };
}
