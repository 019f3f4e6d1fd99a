/** Responses of the daemon itself: refusals guarantee that the request has not run; failures do not. */
import type { ServerResponse } from "node:http";
import type { HeaderList, ResponseHead } from "../ports/relayprotocol.js";
import { endAfterRequest } from "./lingering.js";
import type { TargetExchange } from "./targetconnections.js";

/** Buffered bytes for a slow caller above which reading from the target pauses. */
const PAUSE_THRESHOLD_BYTES = 65_536;

/** Maximum size of a body whose target states no length and that is not a stream. */
const MAXIMUM_UNSTATED_BODY_BYTES = 16_777_216;

/** Statuses that imply that the request has not run. A target that sends one without stating this may have run it. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends the rest of a response and ends it. */
export type EndOfResponse = (text: string) => void;

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
    | "quarantined"
    | "cut-off"
    | "shutdown"
    | "overloaded"
    | "internal";

/** Why a request fails although a target may have run it. */
export type FailureReason = "target-failed" | "deadline" | "attempts-spent" | "quarantined" | "shutdown" | "internal";

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
    "internal": 502,
    "quarantined": 502,
    "shutdown": 502,
    "deadline": 504,
};
const NOT_RUN_STATUS = 503;
/** `Retry-After` of a request that an error inside the daemon kept from being sent. */
const INTERNAL_RETRY_AFTER_MILLISECONDS = 500;
/** `Retry-After` of a request that a stopping daemon refuses; other daemons serve it at once. */
const SHUTDOWN_RETRY_AFTER_MILLISECONDS = 0;

/**
 * Writes the head of a target's response. A body without a stated length is sent in chunks whatever the target's framing, so
 * that its end is marked: the operating system closes the connections of a process that is killed, which would look like the
 * end of a body that ends with its connection. A caller that speaks HTTP/1.0 knows no chunks and gets such a body.
 */
export function writeResponseHead(
    response: ServerResponse,
    head: ResponseHead,
    headers: HeaderList,
): void {
    response.writeHead(head.status, [...headers]);
}

/** Returns whether so many bytes of a body are more than are passed on of one whose length is not stated. */
export function exceedsUnstatedLength(head: ResponseHead | undefined, bodyBytes: number): boolean {
    return bodyBytes > MAXIMUM_UNSTATED_BODY_BYTES && head?.headers["content-length"] === undefined;
}

/** Writes bytes of a target's response, and pauses the target if the caller reads more slowly than it sends. */
export function writePaced(response: ServerResponse, bytes: Buffer, exchange: TargetExchange | undefined): void {
    response.write(bytes);
    if (response.writableLength > PAUSE_THRESHOLD_BYTES) {
        exchange?.pause();
    }
}

/**
 * Ends a response so that the caller sees that it is incomplete. A response that ends with its connection is complete if
 * the connection is closed, so that its connection is reset.
 */
export function breakOff(response: ServerResponse): void {
    if (response.headersSent && !response.chunkedEncoding) {
        response.socket?.resetAndDestroy();
    }
    response.destroy();
}

/** Refuses a request that no target has run or will run, with a `Retry-After` header. */
export function writeRefusal(
    response: ServerResponse,
    reason: RefusalReason,
    retryAfterMilliseconds: number,
    end?: EndOfResponse,
): void {
    const seconds = (Math.max(0, retryAfterMilliseconds) / 1_000).toFixed(3);
    writeErrorResponse(response, NOT_RUN_STATUS, reason, ["Retry-After", seconds], end);
}

/** Fails a request that a target may have run. */
export function writeFailure(response: ServerResponse, reason: FailureReason): void {
    writeErrorResponse(response, failureStatus[reason], reason, []);
}

/**
 * Responds to a request that an error inside the daemon ended: refuses it if no target can have run it, fails it
 * otherwise, and breaks off a response that has begun.
 */
export function writeInternalError(response: ServerResponse, mayHaveRun: boolean): void {
    if (breakOffIfBegun(response)) {
        return;
    }
    if (mayHaveRun) {
        writeFailure(response, "internal");
    }
    else {
        writeRefusal(response, "internal", INTERNAL_RETRY_AFTER_MILLISECONDS);
    }
}

/**
 * Does the same for a request that the end of the process cuts off, and asks its caller to close the connection. The
 * body of a refused request may not have been read.
 */
export function writeShutdown(response: ServerResponse, mayHaveRun: boolean): void {
    if (breakOffIfBegun(response)) {
        return;
    }
    response.setHeader("Connection", "close");
    if (mayHaveRun) {
        writeFailure(response, "shutdown");
        return;
    }
    writeRefusal(response, "shutdown", SHUTDOWN_RETRY_AFTER_MILLISECONDS, text => endAfterRequest(response, text));
}

/** Breaks off a response that has begun; returns whether nothing else can be written to it. */
function breakOffIfBegun(response: ServerResponse): boolean {
    if (response.writableEnded) {
        return true;
    }
    if (response.headersSent) {
        breakOff(response);
        return true;
    }
    // Headers of a target may be set already, among them the signature of a response that is not sent.
    response.getHeaderNames().filter(name => name !== "connection").forEach(name => response.removeHeader(name));
    return false;
}

/** Denies a request that the configuration does not allow; its body may not have been read. */
export function writeDenial(response: ServerResponse, reason: DenialReason): void {
    writeErrorResponse(response, denialStatus[reason], reason, [], text => endAfterRequest(response, text));
}

function writeErrorResponse(
    response: ServerResponse,
    status: number,
    code: string,
    headers: readonly string[],
    end: EndOfResponse = text => void response.end(text),
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = JSON.stringify({ error: { code } });
    response.writeHead(status, [
        ...headers,
        ...["Content-Type", "application/json"],
        ...["Content-Length", String(Buffer.byteLength(body))],
    ]);
    end(body);
}
