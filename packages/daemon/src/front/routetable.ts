/** Routes of the front end. */
import { handleChat, handleModels, handleService, refuse, writeJson } from "./callerroutes.js";
import type { FrontEndOptions, FrontEndState, RouteHandler } from "./exchange.js";
import type { Routes } from "./routes.js";

/** Creates the route table. */
export function createRoutes(options: FrontEndOptions, state: FrontEndState): Routes {
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
            "/v1/chat/completions": { methods: { POST: handleChat }, refusedWhileDraining: true },
            "/v1/models": { methods: { GET: handleModels }, refusedWhileDraining: false },
            "/healthz": {
                methods: { GET: exchange => writeJson(exchange, 200, { status: "ok" }) },
                refusedWhileDraining: false,
            },
            "/readyz": {
                methods: {
                    GET: exchange =>
                        state.draining || !options.ready()
                            ? refuse(exchange, { code: "shutting_down", message: "The daemon is not ready." })
                            : writeJson(exchange, 200, { status: "ready" }),
                },
                refusedWhileDraining: false,
            },
        },
        prefixes: {
            "/v1/models/": { methods: { GET: handleModels }, refusedWhileDraining: false },
            "/services/": { methods: { "*": handleService }, refusedWhileDraining: true },
            "/control/": { methods: { "*": control }, refusedWhileDraining: false },
        },
    };
}
