/** Responses of the daemon itself: refusals guarantee that the request has not run; failures do not. */
import type { ServerResponse } from "node:http";
import type { HeaderList, ResponseHead } from "../ports/relayprotocol.js";

/** Why a request is refused before any target could run it. */
export type RefusalReason =
    | "no-configuration"
    | "no-group"
    | "no-target"
    | "full"
    | "limited"
    | "too-late"
    | "not-run"
    | "budget"
    | "quarantined";

/** Why a request fails although a target may have run it. */
export type FailureReason = "target-failed" | "deadline" | "attempts-spent" | "quarantined";

/** Why a request is denied. */
export type DenialReason = "unknown-route" | "unknown-key" | "body-too-large" | "header-too-large";

const denialStatus: Readonly<Record<DenialReason, number>> = {
    "unknown-route": 404,
    "unknown-key": 401,
    "body-too-large": 413,
    "header-too-large": 431,
};
const failureStatus: Readonly<Record<FailureReason, number>> = {
    "target-failed": 502,
    "attempts-spent": 502,
    "quarantined": 502,
    "deadline": 504,
};
const NOT_RUN_STATUS = 503;

/**
 * Writes the head of a target's response. The body is framed as the target's is: with a marked end, or ended by closing
 * the connection.
 */
export function writeResponseHead(
    response: ServerResponse,
    head: ResponseHead,
    headers: HeaderList,
): void {
    if (!head.delimited) {
        response.shouldKeepAlive = false;
        response.useChunkedEncodingByDefault = false;
    }
    response.writeHead(head.status, [...headers]);
}

/** Refuses a request that no target has run or will run, with a `Retry-After` header. */
export function writeRefusal(response: ServerResponse, reason: RefusalReason, retryAfterMilliseconds: number): void {
    const seconds = (Math.max(0, retryAfterMilliseconds) / 1_000).toFixed(3);
    writeErrorResponse(response, NOT_RUN_STATUS, reason, ["Retry-After", seconds]);
}

/** Fails a request that a target may have run. */
export function writeFailure(response: ServerResponse, reason: FailureReason): void {
    writeErrorResponse(response, failureStatus[reason], reason, []);
}

/** Denies a request that the configuration does not allow. */
export function writeDenial(response: ServerResponse, reason: DenialReason): void {
    writeErrorResponse(response, denialStatus[reason], reason, []);
}

function writeErrorResponse(response: ServerResponse, status: number, code: string, headers: readonly string[]): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = JSON.stringify({ error: { code } });
    response.writeHead(status, [
        ...headers,
        ...["Content-Type", "application/json"],
        ...["Content-Length", String(Buffer.byteLength(body))],
    ]);
    response.end(body);
}
