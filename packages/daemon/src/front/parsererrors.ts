/** Error responses on connections whose data Node's HTTP parser rejects. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { formatRawError } from "./errors.js";

/** Parser errors that have their own error response, by Node error code. */
const parserErrors: Readonly<Record<string, CallerError>> = {
    ERR_HTTP_REQUEST_TIMEOUT: { code: "request_timeout", message: "The request did not arrive in time." },
    HPE_HEADER_OVERFLOW: { code: "invalid_header", message: "The headers are too long." },
    HPE_CHUNK_EXTENSIONS_OVERFLOW: { code: "malformed_body", message: "The chunk extensions are too long." },
};

/**
 * Refuses a connection with an error response. A request that is still running, or whose response has started, cannot be
 * answered once the framing of the connection is lost, so the connection is destroyed instead.
 */
export function refuseConnection(
    socket: Socket,
    error: NodeJS.ErrnoException | CallerError,
    response: ServerResponse | undefined,
    requestId: string,
): void {
    const responseFinished = response !== undefined && response.writableFinished && response.req.complete;
    const waitsForBody = response !== undefined && !response.headersSent && !response.req.complete;
    if (!socket.writable || (error as NodeJS.ErrnoException).code === "ECONNRESET") {
        socket.destroy();
        return;
    }
    if (response !== undefined && !responseFinished && !waitsForBody) {
        socket.destroy();
        return;
    }
    socket.end(formatRawError(callerErrorOf(error), requestId));
}

function callerErrorOf(error: NodeJS.ErrnoException | CallerError): CallerError {
    if (!(error instanceof Error)) {
        return error as CallerError;
    }
    return parserErrors[(error as NodeJS.ErrnoException).code ?? ""] ?? {
        code: "invalid_header",
        message: "The request is not valid HTTP.",
    };
}
