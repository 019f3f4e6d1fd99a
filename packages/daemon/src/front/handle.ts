/** Checks each request, routes it to its handler, and tracks the open responses. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { refuse } from "./callerroutes.js";
import { writeError } from "./errors.js";
import type { Exchange, FrontEndOptions, FrontEndState } from "./exchange.js";
import { parseHeaders } from "./headers.js";
import { findRoute, type Routes } from "./routes.js";

/** Handler of all requests of the front end. */
export interface RequestHandler {
    handle(request: IncomingMessage, response: ServerResponse, forwarded?: Exchange["forwarded"]): Promise<void>;
    /** Responses whose handler has not finished, by request id. */
    readonly open: ReadonlyMap<string, ServerResponse>;
    /** Resolves when no response is open. */
    idle(): Promise<void>;
}

/** Creates the handler. */
export function createRequestHandler(
    options: FrontEndOptions,
    state: FrontEndState,
    routes: Routes,
    nextRequestId: () => string,
): RequestHandler {
    const open = new Map<string, ServerResponse>();
    const idleWaiters = new Set<() => void>();

    const handleExchange = async (exchange: Exchange, headers: ReturnType<typeof parseHeaders>): Promise<void> => {
        const route = findRoute(routes, exchange.request.method ?? "GET", exchange.path);
        if (headers.err && !exchange.path.startsWith("/control/")) {
            return refuse(exchange, headers.val);
        }
        if (route.err) {
            return refuse(exchange, route.val);
        }
        if (state.draining && route.val.refusedWhileDraining) {
            return refuse(exchange, { code: "shutting_down", message: "The daemon is shutting down." });
        }
        await route.val.handler(exchange);
    };

    const removeOpen = (requestId: string): void => {
        open.delete(requestId);
        if (open.size === 0) {
            [...idleWaiters].forEach(resolve => resolve());
            idleWaiters.clear();
        }
    };

    return {
        open,
        idle: () => open.size === 0 ? Promise.resolve() : new Promise(resolve => idleWaiters.add(resolve)),
        handle: async (request, response, forwarded) => {
            const requestId = nextRequestId();
            const headers = parseHeaders(request);
            const span = options.tracer.start("front", headers.ok ? headers.val.traceparent : undefined);
            span.setAttribute("request", requestId);
            response.on("error", () => undefined);
            open.set(requestId, response);
            if (state.draining) {
                response.setHeader("connection", "close");
            }
            try {
                const exchange = exchangeOf(options, requestId, request, response);
                await handleExchange({
                    ...exchange,
                    span,
                    headers: headers.unwrapOr({ priority: 0, deadlineMilliseconds: 0 }),
                    ...(forwarded === undefined ? {} : { forwarded }),
                }, headers);
            }
            catch (error) {
                options.log.emit("requestFailed", { requestId, error: (error as Error).stack ?? String(error) });
                writeError(response, requestId, { code: "internal_error", message: "The request failed." });
            }
            finally {
                span.end();
                removeOpen(requestId);
            }
        },
    };
}

function exchangeOf(options: FrontEndOptions, requestId: string, request: IncomingMessage, response: ServerResponse) {
    const target = request.url ?? "/";
    const pathLength = target.includes("?") ? target.indexOf("?") : target.length;
    return {
        options,
        requestId,
        request,
        response,
        path: target.slice(0, pathLength),
        query: target.slice(pathLength),
        receivedAt: options.clock.monotonic(),
    };
}
