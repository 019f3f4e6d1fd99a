/** HTTP server for callers. Its limits follow the configuration. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import type { CallerResources } from "../callers/callerresources.js";
import { type ConnectionLimits, limitConnections } from "./connectionlimits.js";
import { closeAfterCaller } from "./lingering.js";
import { closeAfterParserErrors } from "./parsererrors.js";
import { inOrder, type RequestHandler } from "./requestorder.js";
import type { RelayState } from "./statetypes.js";

/** Least limit of the HTTP parser; the configured limit is checked against the parsed headers. */
const PARSER_HEADER_BYTES = 65_536;
/** The parser closes connections without a response, so its limit is this many times the configured one. */
const PARSER_HEADER_FACTOR = 2;
/** Callers reuse idle connections until shortly before the idle timeout, so the server keeps them open longer. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

const BAD_REQUEST_STATUS = 400;
const EXPECTATION_FAILED_STATUS = 417;

/** The server and its connections. */
export interface CallerServer {
    readonly server: Server;
    readonly connections: ConnectionLimits;
}

/** Creates the server, which does not listen yet. */
export function createCallerServer(
    state: RelayState,
    resources: CallerResources,
    handle: RequestHandler,
): CallerServer {
    const server = createServer({
        maxHeaderSize: PARSER_HEADER_BYTES,
        requestTimeout: 0,
        noDelay: true,
        // Node would answer such a request before those that precede it on its connection.
        requireHostHeader: false,
    }, inOrder(refuseInvalid(handle)));
    server.on("checkExpectation", inOrder(refuseExpectation));
    resources.protect(server);
    closeAfterParserErrors(server);
    server.on("connection", (socket: Socket) => {
        // Node calls it after the last response of a connection, and would close the connection for reading as well.
        socket.destroySoon = () => closeAfterCaller(socket);
    });
    const connections = limitConnections(server);
    // Node counts a response as sent when its last bytes are written, although they may wait for a slow caller. It calls
    // this when the server is closed.
    server.closeIdleConnections = () => connections.closeIdle();
    state.onChange(() => {
        const limits = state.lookup()?.configuration.limits;
        if (limits !== undefined) {
            // Node takes over the value for each new connection.
            const maxHeaderSize = Math.max(PARSER_HEADER_BYTES, PARSER_HEADER_FACTOR * limits.headerBytes);
            Object.assign(server, { maxHeaderSize });
            connections.setHeaderTimeout(limits.headerTimeoutMilliseconds);
            connections.setIdleTimeout(limits.idleTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS);
        }
    });
    return { server, connections };
}

/** Denies requests without the header that names their host, which HTTP/1.1 requires. */
function refuseInvalid(handle: RequestHandler): RequestHandler {
    return (message, response, waitedMilliseconds) => {
        if (message.httpVersion === "1.1" && message.headers.host === undefined) {
            response.writeHead(BAD_REQUEST_STATUS, { Connection: "close" }).end();
            return;
        }
        handle(message, response, waitedMilliseconds);
    };
}

/** Denies requests that expect anything but `100-continue`. */
function refuseExpectation(...[, response]: Parameters<RequestHandler>): void {
    response.writeHead(EXPECTATION_FAILED_STATUS, { Connection: "close" }).end();
}
