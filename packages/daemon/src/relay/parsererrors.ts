/** Closes connections on which other bytes than requests arrive, once the whole requests before them have been answered. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeAfterCaller } from "./lingering.js";

/** The caller closed its side inside a request, and may have left. */
const EARLY_END = "HPE_INVALID_EOF_STATE";
const PARSER_ERROR = /^HPE_/;

/** Handles the errors of connections of a server. */
export function closeAfterParserErrors(server: Server): void {
    const openResponses = new WeakMap<Socket, Set<ServerResponse>>();
    const closing = new WeakSet<Socket>();
    server.on("request", ({ socket }: IncomingMessage, response: ServerResponse) => {
        const open = openResponses.get(socket) ?? new Set();
        openResponses.set(socket, open.add(response));
        response.once("close", () => open.delete(response));
    });
    server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket: Socket) => {
        const open = openResponses.get(socket);
        if (open === undefined || code === EARLY_END || !PARSER_ERROR.test(code)) {
            // No request was parsed, or the caller has left.
            socket.destroy();
            return;
        }
        // The parser reports the same error for the bytes that follow.
        if (!closing.has(socket)) {
            closing.add(socket);
            socket.pause();
            whenClosed([...open].filter(({ req }) => req.complete), () => closeAfterCaller(socket));
        }
    });
}

function whenClosed(responses: readonly ServerResponse[], action: () => void): void {
    const remaining = new Set(responses);
    if (remaining.size === 0) {
        action();
        return;
    }
    responses.forEach(response =>
        response.once("close", () => {
            remaining.delete(response);
            if (remaining.size === 0) {
                action();
            }
        })
    );
}
