/** Answers on connections whose bytes Node's HTTP parser refuses. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { formatRawError } from "./errors.js";

/** Errors of the parser that have a message of their own. */
const knownErrors: Readonly<Record<string, CallerError>> = {
    ERR_HTTP_REQUEST_TIMEOUT: { code: "request_timeout", message: "The request did not arrive in time." },
    HPE_HEADER_OVERFLOW: { code: "invalid_header", message: "The headers are too long." },
    HPE_CHUNK_EXTENSIONS_OVERFLOW: { code: "malformed_body", message: "The chunk extensions are too long." },
};

/**
 * Refuses a connection. A response that has begun, or a request that is being worked on, cannot be answered on a
 * connection whose framing is lost, so that the connection is cut then.
 */
export function refuseConnection(
    socket: Socket,
    error: NodeJS.ErrnoException | CallerError,
    response: ServerResponse | undefined,
    requestId: string,
): void {
    const answered = response !== undefined && response.writableFinished && response.req.complete;
    const waitsForBody = response !== undefined && !response.headersSent && !response.req.complete;
    if (!socket.writable || (error as NodeJS.ErrnoException).code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    if (response !== undefined && !answered && !waitsForBody) {
        socket.destroy();
        return;
    }
    socket.end(formatRawError(describe(error), requestId));
}

function describe(error: NodeJS.ErrnoException | CallerError): CallerError {
    if (!(error instanceof Error)) {
        return error as CallerError;
    }
    return knownErrors[(error as NodeJS.ErrnoException).code ?? ""] ?? {
        code: "invalid_header",
        message: "The request is not valid HTTP.",
    };
}
