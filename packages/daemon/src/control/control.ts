/** HTTP API for operators under `/control/v1`. */
import { editsRequestSchema } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import { applyEdits } from "./edits.js";
import { readHistory } from "./history.js";
import { authenticate, type ControlResponse, errorResponse, readBody, sendResponse } from "./http.js";
import type { ControlOptions } from "./types.js";

/** Handles one request under `/control/`. Authenticates the operator. */
export type ControlHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

type Route = (request: IncomingMessage, operator: string, path: string) => Promise<ControlResponse>;

const EXPLAIN_PREFIX = "/control/v1/requests/";

/** Creates the handler of the operator API. */
export function createControlHandler(options: ControlOptions): ControlHandler {
    const routes = createRoutes(options);
    return async (request, response) => {
        const path = pathOf(request.url ?? "/");
        const operator = authenticate(request, options.operators);
        if (operator === undefined) {
            sendResponse(
                response,
                errorResponse(401, "invalid_operator_token", "The operator token is missing or unknown."),
            );
            return;
        }
        sendResponse(
            response,
            path === undefined
                ? errorResponse(400, "malformed_path", `The path ${request.url} is malformed.`)
                : await dispatchRequest(options, routes, request, operator, path),
        );
    };
}

/** Returns the path of a request target, or `undefined` if it or one of its percent escapes is malformed. */
function pathOf(target: string): string | undefined {
    try {
        const { pathname } = new URL(target, "http://control");
        decodeURIComponent(pathname);
        return pathname;
    }
    catch {
        return undefined;
    }
}

async function dispatchRequest(
    options: ControlOptions,
    routes: Readonly<Record<string, Route>>,
    request: IncomingMessage,
    operator: string,
    path: string,
): Promise<ControlResponse> {
    const routeName = path.startsWith(EXPLAIN_PREFIX) ? EXPLAIN_PREFIX : path;
    const route = routes[`${request.method} ${routeName}`];
    if (route === undefined) {
        return errorResponse(404, "route_not_found", `There is no ${request.method} ${path}.`);
    }
    try {
        return await route(request, operator, path);
    }
    catch (error) {
        options.events.emit("controlFailed", { error, path });
        return errorResponse(503, "control_failed", `The request failed: ${(error as Error).message}.`);
    }
}

function createRoutes(options: ControlOptions): Readonly<Record<string, Route>> {
    const ok = (body: unknown): ControlResponse => ({ status: 200, body });
    return {
        "GET /control/v1/table": async () => {
            const { nextOffset, rows } = options.table();
            return ok({ nextOffset, rows });
        },
        "POST /control/v1/table/edits": async (request, operator) => {
            const body = await readBody(request, editsRequestSchema, options.maximumBodyBytes);
            return body.err ? body.val : ok(await applyEdits(options, body.val, operator));
        },
        "GET /control/v1/table/history": async () => ok(await readHistory(options)),
        "GET /control/v1/status": async () => ok(await options.fetchAllStatuses()),
        "GET /control/v1/hosts": async () => ok({ hosts: options.hosts() }),
        "GET /control/v1/groups": async () => ok({ groups: options.groups() }),
        [`GET ${EXPLAIN_PREFIX}`]: async (...[, , path]) => {
            const requestId = decodeURIComponent(path.slice(EXPLAIN_PREFIX.length));
            const explanation = await options.explain(requestId);
            return explanation === undefined
                ? errorResponse(
                    404,
                    "explanation_unavailable",
                    `No reachable daemon holds an explanation of ${requestId}.`,
                )
                : ok(explanation);
        },
    };
}
