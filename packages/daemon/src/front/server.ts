/** Node's HTTP server with the timeouts of the front end, and error responses to requests that its parser rejects. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { writeError } from "./errors.js";
import type { FrontEndOptions } from "./exchange.js";
import { refuseConnection } from "./parsererrors.js";

/** Longer than the idle timeout of load balancers, up to a minute. Closing first would lose requests in flight. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000;
/** Longest interval between Node's checks for connections that exceed the header timeout. */
const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000;

/** Creates the server for callers. */
export function createCallerServer(options: FrontEndOptions, listener: RequestListener): Server {
    const { headerTimeoutMilliseconds, bodyTimeoutMilliseconds } = options;
    const checkingInterval = Math.ceil(headerTimeoutMilliseconds / 4);
    return createServer({
        insecureHTTPParser: false,
        headersTimeout: headerTimeoutMilliseconds,
        // `readBody` has its own timeout. This one is a fallback for connections that it does not cover.
        requestTimeout: headerTimeoutMilliseconds + 2 * bodyTimeoutMilliseconds,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
        connectionsCheckingInterval: Math.min(checkingInterval, MAXIMUM_CHECKING_INTERVAL_MILLISECONDS),
        requireHostHeader: false,
        noDelay: true,
    }, listener);
}

/** Responds to requests that Node's parser rejects or reports with an event other than `request`. */
export function handleParserErrors(
    server: Server,
    nextRequestId: () => string,
    open: ReadonlyMap<string, ServerResponse>,
): void {
    /** Latest response of each connection, kept after its handler has finished. */
    const latestResponses = new WeakMap<Socket, ServerResponse>();
    server.on("request", (request, response) => latestResponses.set(request.socket, response));
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const response = latestResponses.get(socket as Socket);
        const requestId = [...open].find(([, other]) => other === response)?.[0] ?? nextRequestId();
        refuseConnection(socket as Socket, error, response, requestId);
    });
    server.on("connect", (...[, socket]) => {
        const error: CallerError = { code: "method_not_allowed", message: "CONNECT is not supported." };
        refuseConnection(socket as Socket, error, latestResponses.get(socket as Socket), nextRequestId());
    });
    server.on("checkExpectation", (...[, response]: [IncomingMessage, ServerResponse]) => {
        const error: CallerError = { code: "invalid_header", message: "Header expect is not supported." };
        response.setHeader("connection", "close");
        writeError(response, nextRequestId(), error);
    });
}

/** Listens on `IP:PORT`. Resolves with the address. */
export function listenOn(server: Server, listen: string): Promise<AddressInfo> {
    const [host, port] = listen.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server.address() as AddressInfo));
    });
}
