/** HTTP front end for callers and operators, and for requests that other daemons forward. */
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { sameSecret } from "../secrets.js";
import { writeError } from "./errors.js";
import type { FrontEndOptions, FrontEndState } from "./exchange.js";
import { createRequestHandler } from "./handle.js";
import { bearerToken } from "./headers.js";
import { createRequestIds } from "./requestids.js";
import { createRoutes } from "./routetable.js";
import { createCallerServer, handleParserErrors, listenOn } from "./server.js";

/** HTTP front end of a daemon. */
export interface FrontEnd {
    /** Starts to listen. Resolves with the address. */
    listen(): Promise<AddressInfo>;
    /** Reports the daemon as not ready and refuses new requests. Requests in progress continue. */
    beginDrain(): void;
    /** Drains the front end. Resolves when no request is in progress and the listener is closed. */
    close(): Promise<void>;
    /** Ends all requests in progress with an error and returns their ids. */
    cutOff(): string[];
    /** Registers the handler of all paths under `/control/`. The handler authenticates the operator itself. */
    registerControl(handler: RequestListener): void;
    /** Handles requests that other daemons forward. The caller attaches it to the server for other daemons. */
    readonly handleForwarded: RequestListener;
    /** Number of requests whose response is not finished. */
    inProgress(): number;
}

/** How long connections without a request may take to close before they are destroyed. */
const CLOSE_TIMEOUT_MILLISECONDS = 500;

/** Creates the front end. */
export function createFrontEnd(options: FrontEndOptions): FrontEnd {
    const nextRequestId = createRequestIds(options.daemon, options.incarnation);
    const state: FrontEndState = { draining: false };
    const { handle, idle, open } = createRequestHandler(options, state, createRoutes(options, state), nextRequestId);
    const server = createCallerServer(options, (request, response) => void handle(request, response));
    handleParserErrors(server, nextRequestId, open);

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
            // Node does not count connections without a complete request as idle, so they are closed after a timeout.
            const closeTimer = setTimeout(() => server.closeAllConnections(), CLOSE_TIMEOUT_MILLISECONDS);
            await new Promise(resolve => {
                server.close(resolve);
                server.closeIdleConnections();
            });
            clearTimeout(closeTimer);
        },
        cutOff: () => {
            state.draining = true;
            options.dispatcher.beginDrain();
            const ids = new Set([...open.keys(), ...options.dispatcher.cutOff()]);
            // Requests that have not reached the dispatcher get no response from it, so their connections are closed.
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
