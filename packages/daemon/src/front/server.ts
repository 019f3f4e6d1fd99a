/** Node's HTTP server with the limits of the front, and answers to what its parser refuses. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { writeError } from "./errors.js";
import type { FrontEndOptions } from "./exchange.js";
import { refuseConnection } from "./parsererrors.js";

/** Load balancers keep idle connections for up to a minute; closing first loses requests that are on their way. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000;
/** Node checks connections for late headers this often at most. */
const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000;

/** Makes the server. */
export function createCallerServer(options: FrontEndOptions, listener: RequestListener): Server {
    const { headerTimeoutMilliseconds, bodyTimeoutMilliseconds } = options;
    const interval = Math.ceil(headerTimeoutMilliseconds / 4);
    return createServer({
        insecureHTTPParser: false,
        headersTimeout: headerTimeoutMilliseconds,
        // The body has its own timer; this one only ends what slips past it.
        requestTimeout: headerTimeoutMilliseconds + 2 * bodyTimeoutMilliseconds,
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
        connectionsCheckingInterval: Math.min(interval, MAXIMUM_CHECKING_INTERVAL_MILLISECONDS),
        requireHostHeader: false,
        noDelay: true,
    }, listener);
}

/** Answers what Node's parser refuses or hands over by other events than `request`. */
export function guardParser(
    server: Server,
    nextRequestId: () => string,
    open: ReadonlyMap<string, ServerResponse>,
): void {
    /** Newest response of each connection, also after its handler has ended. */
    const newest = new WeakMap<Socket, ServerResponse>();
    server.on("request", (request, response) => newest.set(request.socket, response));
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const response = newest.get(socket as Socket);
        const requestId = [...open].find(([, other]) => other === response)?.[0] ?? nextRequestId();
        refuseConnection(socket as Socket, error, response, requestId);
    });
    server.on("connect", (...[, socket]) => {
        const error: CallerError = { code: "method_not_allowed", message: "CONNECT is not supported." };
        refuseConnection(socket as Socket, error, newest.get(socket as Socket), nextRequestId());
    });
    server.on("checkExpectation", (...[, response]: [IncomingMessage, ServerResponse]) => {
        const error: CallerError = { code: "invalid_header", message: "Header expect is not supported." };
        response.setHeader("connection", "close");
        writeError(response, nextRequestId(), error);
    });
}

/** Listens on `IP:PORT`; resolves with the address. */
export function listenOn(server: Server, listen: string): Promise<AddressInfo> {
    const [host, port] = listen.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server.address() as AddressInfo));
    });
}
