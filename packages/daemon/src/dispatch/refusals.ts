/** Errors that the dispatcher gives to callers. */
import { errorCodes } from "@damaskvale/core";
import type { Lifetime } from "./lifetime.js";
import type { CallerError } from "./types.js";

/** Base of `Retry-After` where no queue gives one, in milliseconds: about the time of a failover. */
const RETRY_AFTER_MILLISECONDS = 2_000;

/** Returns an error with a `Retry-After` that is spread, so that refused callers do not return all at once. */
export function refuse(error: CallerError, random: () => number): CallerError {
    if (!errorCodes[error.code].retryAfter || error.jitter === false) {
        return error;
    }
    const base = error.retryAfterMilliseconds ?? RETRY_AFTER_MILLISECONDS;
    return { ...error, retryAfterMilliseconds: base * (1 + random()) };
}

/** Returns the error of a request that was stopped. `maybeRan`: a target may have run the request. */
export function stopped(lifetime: Lifetime, maybeRan: boolean): CallerError {
    const outcome = maybeRan ? "unknown" : "not-run";
    return lifetime.reason() === "cut"
        ? { code: "shutting_down", message: "The daemon stopped before the request was finished.", outcome }
        : { code: "deadline_exceeded", message: "The deadline of the request has passed.", outcome };
}

/** Returns the error of a request for a model that has no dispatchable group. */
export function noReadyGroup(model: string): CallerError {
    return { code: "no_ready_group", message: `No replica group of model ${model} is ready.` };
}
