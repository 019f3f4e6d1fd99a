/** HTTP server for callers and operators, and the entry for requests that other daemons forward. */
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { sameSecret } from "../secrets.js";
import { writeError } from "./errors.js";
import type { FrontEndOptions, FrontEndState } from "./exchange.js";
import { createHandling } from "./handle.js";
import { bearerToken } from "./headers.js";
import { createRequestIds } from "./requestids.js";
import { createRoutes } from "./routetable.js";
import { createCallerServer, guardParser, listenOn } from "./server.js";

/** Front of a daemon. */
export interface FrontEnd {
    /** Starts to listen; resolves with the address. */
    listen(): Promise<AddressInfo>;
    /** Becomes not ready and refuses requests that arrive from now on; those that have arrived go on. */
    beginDrain(): void;
    /** Resolves when no request is in progress any more and the listener is closed. */
    close(): Promise<void>;
    /** Ends all requests in progress with an error and returns their ids. */
    cutOff(): string[];
    /** Registers the handler of all paths under `/control/`; it checks its own token. */
    registerControl(handler: RequestListener): void;
    /** Handles requests that other daemons forward; the wiring attaches it to the listener for daemons. */
    readonly handleForwarded: RequestListener;
    /** Requests whose response is not finished. */
    inProgress(): number;
}

/** Time that connections without a request get to close by themselves. */
const CLOSE_MILLISECONDS = 500;

/** Makes the front. */
export function createFrontEnd(options: FrontEndOptions): FrontEnd {
    const nextRequestId = createRequestIds(options.daemon, options.incarnation);
    const state: FrontEndState = { draining: false };
    const { handle, idle, open } = createHandling(options, state, createRoutes(options, state), nextRequestId);
    const server = createCallerServer(options, (request, response) => void handle(request, response));
    guardParser(server, nextRequestId, open);

    return {
        listen: () => listenOn(server, options.listen),
        beginDrain: () => {
            state.draining = true;
        },
        close: async () => {
            state.draining = true;
            await idle();
            options.dispatcher.beginDrain();
            await options.dispatcher.idle();
            // Connections that never sent a whole request do not count as idle for Node.
            const rest = setTimeout(() => server.closeAllConnections(), CLOSE_MILLISECONDS);
            await new Promise(resolve => {
                server.close(resolve);
                server.closeIdleConnections();
            });
            clearTimeout(rest);
        },
        cutOff: () => {
            state.draining = true;
            options.dispatcher.beginDrain();
            const ids = new Set([...open.keys(), ...options.dispatcher.cutOff()]);
            // Requests that have not reached the dispatcher have no answer to wait for.
            setImmediate(() => {
                [...open.values()].filter(({ headersSent }) => !headersSent).forEach(response => response.destroy());
                server.closeIdleConnections();
            });
            return [...ids];
        },
        registerControl: handler => {
            state.control = handler;
        },
        handleForwarded: (request, response) => {
            const daemon = request.headers["x-damaskvale-forwarded"];
            const team = request.headers["x-damaskvale-team"];
            if (
                typeof daemon !== "string" || typeof team !== "string"
                || !sameSecret(bearerToken(request) ?? "", options.peerSecret)
            ) {
                const error: CallerError = {
                    code: "invalid_api_key",
                    message: "The daemon secret is missing or wrong.",
                };
                writeError(response, nextRequestId(), error);
                return;
            }
            void handle(request, response, { daemon, team });
        },
        inProgress: () => open.size,
    };
}
