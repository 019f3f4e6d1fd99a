/** Detects duplicates among the non-repeatable requests in progress at this daemon, by team and idempotency key. */
import { claimRequestOf } from "./keys.js";
import type { RunResult } from "./run.js";
import type { CallerError, ServiceCallRequest } from "./types.js";

const duplicateError: CallerError = {
    code: "request_in_progress",
    message: "A request with this idempotency key is in progress.",
};
const reusedError: CallerError = {
    code: "key_reused",
    message: "The idempotency key is in use with a different request.",
    param: "idempotency-key",
};

/** Runs a request unless another request with its key is in progress at this daemon. */
export type RunOnce = (request: ServiceCallRequest, run: () => Promise<RunResult>) => Promise<RunResult>;

/**
 * Creates the check. It comes before admission, because a duplicate that admission refuses would get the outcome
 * `not-run` while the first request is still running.
 */
export function createDuplicateCheck(): RunOnce {
    const bodyHashes = new Map<string, string>();
    return async (request, run) => {
        const { team, keyHash, bodyHash } = claimRequestOf(request);
        const key = `${team} ${keyHash}`;
        const known = bodyHashes.get(key);
        if (known !== undefined) {
            return { error: known === bodyHash ? duplicateError : reusedError, tokens: 0 };
        }
        bodyHashes.set(key, bodyHash);
        try {
            return await run();
        }
        finally {
            bodyHashes.delete(key);
        }
    };
}
