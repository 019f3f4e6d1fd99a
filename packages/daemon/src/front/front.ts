/** HTTP server for callers and operators, and the entry for requests that other daemons forward. */
import { timingSafeEqual } from "node:crypto";
import { createHash } from "node:crypto";
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { CallerError } from "../dispatch/types.js";
import { handleChat, handleModels, handleService, refuse, writeJson } from "./callerroutes.js";
import { writeError } from "./errors.js";
import type { Exchange, FrontOptions, RouteHandler } from "./exchange.js";
import { bearerToken, parseHeaders } from "./headers.js";
import { refuseConnection } from "./parsererrors.js";
import { createRequestIds } from "./requestids.js";
import { findRoute, type Routes } from "./routes.js";

/** Front of a daemon. */
export interface Front {
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
    readonly forwarded: RequestListener;
    /** Requests whose response is not finished. */
    inProgress(): number;
}

/** Load balancers keep idle connections for up to a minute; closing first loses requests that are on their way. */
const KEEP_ALIVE_TIMEOUT_MILLISECONDS = 65_000;
/** Node checks connections for late headers this often at most. */
const MAXIMUM_CHECKING_INTERVAL_MILLISECONDS = 1_000;

/** Makes the front. */
export function createFront(options: FrontOptions): Front {
    const nextRequestId = createRequestIds(options.daemon, options.incarnation);
    const open = new Map<string, ServerResponse>();
    const state: { draining: boolean; control?: RequestListener; } = { draining: false };
    const routes = createRoutes(options, state);
    const empty = new Set<() => void>();

    const handle = async (
        request: IncomingMessage,
        response: ServerResponse,
        forwarded?: Exchange["forwarded"],
    ): Promise<void> => {
        const requestId = nextRequestId();
        const target = request.url ?? "/";
        const cut = target.includes("?") ? target.indexOf("?") : target.length;
        const headers = parseHeaders(request);
        const span = options.tracer.start("front", headers.ok ? headers.val.traceparent : undefined);
        span.setAttribute("request", requestId);
        response.on("error", () => undefined);
        open.set(requestId, response);
        if (state.draining) {
            response.setHeader("connection", "close");
        }
        const exchange: Exchange = {
            options,
            requestId,
            request,
            response,
            path: target.slice(0, cut),
            query: target.slice(cut),
            receivedAt: options.clock.monotonic(),
            span,
            headers: headers.unwrapOr({ priority: 0, deadlineMilliseconds: 0 }),
            ...(forwarded === undefined ? {} : { forwarded }),
        };
        try {
            const route = findRoute(routes, request.method ?? "GET", exchange.path);
            if (headers.err && !exchange.path.startsWith("/control/")) {
                refuse(exchange, headers.val);
            }
            else if (route.err) {
                refuse(exchange, route.val);
            }
            else if (state.draining && route.val.drained) {
                refuse(exchange, { code: "shutting_down", message: "The daemon is shutting down." });
            }
            else {
                await route.val.handler(exchange);
            }
        }
        catch (error) {
            options.log.emit("requestFailed", { requestId, error: (error as Error).stack ?? String(error) });
            writeError(response, requestId, { code: "internal_error", message: "The request failed." });
        }
        finally {
            span.end();
            open.delete(requestId);
            if (open.size === 0) {
                [...empty].forEach(resolve => resolve());
                empty.clear();
            }
        }
    };

    const server = createCallerServer(options, (request, response) => void handle(request, response));
    guard(server, nextRequestId, open);

    return {
        listen: () => listenOn(server, options.listen),
        beginDrain: () => {
            state.draining = true;
        },
        close: async () => {
            state.draining = true;
            if (open.size > 0) {
                await new Promise<void>(resolve => empty.add(resolve));
            }
            options.dispatcher.beginDrain();
            await options.dispatcher.idle();
            await new Promise(resolve => {
                server.close(resolve);
                server.closeIdleConnections();
            });
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
        forwarded: (request, response) => {
            const daemon = request.headers["x-damaskvale-forwarded"];
            const team = request.headers["x-damaskvale-team"];
            if (
                typeof daemon !== "string" || typeof team !== "string"
                || !sameSecret(bearerToken(request), options.peerSecret)
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

function createRoutes(options: FrontOptions, state: { draining: boolean; control?: RequestListener; }): Routes {
    const control: RouteHandler = exchange => {
        const { request, response, requestId } = exchange;
        if (state.control === undefined) {
            return refuse(exchange, { code: "route_not_found", message: "There is no such path." });
        }
        response.setHeader("x-damaskvale-request-id", requestId);
        response.setHeader("x-damaskvale-outcome", "complete");
        const finished = new Promise<void>(resolve => response.on("close", resolve));
        state.control(request, response);
        return finished;
    };
    return {
        exact: {
            "/v1/chat/completions": { methods: { POST: handleChat }, drained: true },
            "/v1/models": { methods: { GET: handleModels }, drained: false },
            "/healthz": {
                methods: { GET: exchange => writeJson(exchange, 200, { status: "ok" }) },
                drained: false,
            },
            "/readyz": {
                methods: {
                    GET: exchange =>
                        state.draining || !options.ready()
                            ? refuse(exchange, { code: "shutting_down", message: "The daemon is not ready." })
                            : writeJson(exchange, 200, { status: "ready" }),
                },
                drained: false,
            },
        },
        prefixes: {
            "/v1/models/": { methods: { GET: handleModels }, drained: false },
            "/services/": { methods: { "*": handleService }, drained: true },
            "/control/": { methods: { "*": control }, drained: false },
        },
    };
}

function createCallerServer(options: FrontOptions, listener: RequestListener): Server {
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
function guard(server: Server, nextRequestId: () => string, open: ReadonlyMap<string, ServerResponse>): void {
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        const current = [...open].find(([, response]) => response.socket === socket);
        refuseConnection(socket as Socket, error, current, nextRequestId);
    });
    server.on("connect", (request, socket) => {
        const error: CallerError = { code: "method_not_allowed", message: "CONNECT is not supported." };
        refuseConnection(socket as Socket, error, undefined, nextRequestId);
    });
    server.on("checkExpectation", (request: IncomingMessage, response: ServerResponse) => {
        const error: CallerError = { code: "invalid_header", message: "Header expect is not supported." };
        response.setHeader("connection", "close");
        writeError(response, nextRequestId(), error);
    });
}

function listenOn(server: Server, listen: string): Promise<AddressInfo> {
    const [host, port] = listen.split(":");
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(Number(port), host, () => resolve(server.address() as AddressInfo));
    });
}

function sameSecret(given: string | undefined, expected: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return given !== undefined && timingSafeEqual(digest(given), digest(expected));
}
