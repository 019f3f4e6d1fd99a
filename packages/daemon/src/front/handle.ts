/** Takes each request through checks and routing, and keeps the list of open responses. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { refuse } from "./callerroutes.js";
import { writeError } from "./errors.js";
import type { Exchange, FrontEndOptions, FrontEndState } from "./exchange.js";
import { parseHeaders } from "./headers.js";
import { findRoute, type Routes } from "./routes.js";

/** Handling of requests. */
export interface Handling {
    handle(request: IncomingMessage, response: ServerResponse, forwarded?: Exchange["forwarded"]): Promise<void>;
    /** Responses that are not finished, by request id. */
    readonly open: ReadonlyMap<string, ServerResponse>;
    /** Resolves when no response is open. */
    idle(): Promise<void>;
}

/** Makes the handling. */
export function createHandling(
    options: FrontEndOptions,
    state: FrontEndState,
    routes: Routes,
    nextRequestId: () => string,
): Handling {
    const open = new Map<string, ServerResponse>();
    const waiting = new Set<() => void>();

    const answer = async (exchange: Exchange, headers: ReturnType<typeof parseHeaders>): Promise<void> => {
        const route = findRoute(routes, exchange.request.method ?? "GET", exchange.path);
        if (headers.err && !exchange.path.startsWith("/control/")) {
            return refuse(exchange, headers.val);
        }
        if (route.err) {
            return refuse(exchange, route.val);
        }
        if (state.draining && route.val.drained) {
            return refuse(exchange, { code: "shutting_down", message: "The daemon is shutting down." });
        }
        await route.val.handler(exchange);
    };

    const close = (requestId: string): void => {
        open.delete(requestId);
        if (open.size === 0) {
            [...waiting].forEach(resolve => resolve());
            waiting.clear();
        }
    };

    return {
        open,
        idle: () => open.size === 0 ? Promise.resolve() : new Promise(resolve => waiting.add(resolve)),
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
                await answer({
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
                close(requestId);
            }
        },
    };
}

function exchangeOf(options: FrontEndOptions, requestId: string, request: IncomingMessage, response: ServerResponse) {
    const target = request.url ?? "/";
    const cut = target.includes("?") ? target.indexOf("?") : target.length;
    return {
        options,
        requestId,
        request,
        response,
        path: target.slice(0, cut),
        query: target.slice(cut),
        receivedAt: options.clock.monotonic(),
    };
}
