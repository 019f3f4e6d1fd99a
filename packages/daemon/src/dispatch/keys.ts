/** Identity of non-repeatable requests. */
import { createHash } from "node:crypto";
import type { ClaimRequest } from "../ports/claims.js";
import type { ServiceCallRequest } from "./types.js";

/**
 * Returns the identity of a request. Without an `idempotency-key`, the request id is the key. The two are hashed with
 * different prefixes, so that a key of a caller never matches a request id.
 */
export function claimRequestOf(request: ServiceCallRequest): ClaimRequest {
    const key = request.idempotencyKey === undefined ? `request\n${request.id}` : `key\n${request.idempotencyKey}`;
    return {
        team: request.team.name,
        keyHash: sha256(key),
        bodyHash: createHash("sha256")
            .update(`${request.service.name}\n${request.method}\n${request.path}\n`)
            .update(request.body)
            .digest("hex"),
        deadlineAt: request.deadlineAt,
    };
}

function sha256(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}
