/** Errors in the format of the OpenAI API: as responses, as stream events, and as raw text for unparsable connections. */
import { errorCodes } from "@damaskvale/core";
import { type IncomingMessage, type ServerResponse, STATUS_CODES } from "node:http";
import type { CallerError } from "../dispatch/types.js";

/** The OpenAI API represents an absent parameter as a JSON null. */
const JSON_NULL: unknown = JSON.parse("null");
/** `Retry-After` of an error that states no time. */
const DEFAULT_RETRY_AFTER_MILLISECONDS = 1_000;

/** How long the rest of a refused body is read before the response ends. */
const BODY_DRAIN_MILLISECONDS = 500;

/** Returns the body of an error as JSON text. */
export function formatErrorBody(error: CallerError): string {
    const { type } = errorCodes[error.code];
    return JSON.stringify({
        error: { message: error.message, type, code: error.code, param: error.param ?? JSON_NULL },
    });
}

/** Returns the headers of an error response. */
export function errorHeaders(error: CallerError, requestId: string): Record<string, string> {
    const definition = errorCodes[error.code];
    const retryAfter = error.retryAfterMilliseconds ?? DEFAULT_RETRY_AFTER_MILLISECONDS;
    return {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(formatErrorBody(error))),
        "x-damaskvale-request-id": requestId,
        "x-damaskvale-outcome": error.outcome ?? definition.outcome,
        ...(definition.retryAfter ? { "retry-after": String(Math.max(1, Math.ceil(retryAfter / 1_000))) } : {}),
    };
}

/** Writes an error response. */
export function writeError(response: ServerResponse, requestId: string, error: CallerError): void {
    if (response.headersSent || response.destroyed) {
        response.destroy();
        return;
    }
    response.writeHead(errorCodes[error.code].status, errorHeaders(error, requestId));
    response.end(formatErrorBody(error));
}

/**
 * Writes an error response to a caller that is still sending its body, and keeps reading the body for a short time.
 * Closing a connection with unread data resets it, and the caller may then lose the response.
 */
export function writeErrorAndDrainBody(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
    error: CallerError,
): void {
    response.writeHead(errorCodes[error.code].status, errorHeaders(error, requestId));
    response.write(formatErrorBody(error));
    const finish = (): void => {
        clearTimeout(timer);
        request.off("end", finish).off("close", finish);
        response.end();
    };
    const timer = setTimeout(finish, BODY_DRAIN_MILLISECONDS);
    request.on("end", finish).on("close", finish).resume();
}

/** Returns a complete HTTP error response with `connection: close` as text, for a socket without a response object. */
export function formatRawError(error: CallerError, requestId: string): string {
    const { status } = errorCodes[error.code];
    const headers = Object.entries({ ...errorHeaders(error, requestId), connection: "close" });
    const head = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`, ...headers.map(([name, value]) => `${name}: ${value}`)];
    return `${head.join("\r\n")}\r\n\r\n${formatErrorBody(error)}`;
}
