/** Lookup of routes by path and method. */
import { Err, Ok, type Result } from "ts-results";
import type { CallerError } from "../dispatch/types.js";
import type { RouteHandler } from "./exchange.js";

/** Route with its handlers by method. `*` matches any method. */
export interface Route {
    readonly methods: Readonly<Record<string, RouteHandler>>;
    /** Whether requests are refused while the daemon drains. */
    readonly refusedWhileDraining: boolean;
}

/** Routes by exact path, and by prefix. */
export interface Routes {
    readonly exact: Readonly<Record<string, Route>>;
    readonly prefixes: Readonly<Record<string, Route>>;
}

/** Route of a request, with the handler of its method. */
export interface FoundRoute {
    readonly handler: RouteHandler;
    readonly refusedWhileDraining: boolean;
}

/** Finds the route of a request. `HEAD` falls back to the handler of `GET`. */
export function findRoute(routes: Routes, method: string, path: string): Result<FoundRoute, CallerError> {
    const exact = Object.hasOwn(routes.exact, path) ? routes.exact[path] : undefined;
    const prefix = Object.entries(routes.prefixes).find(([start]) => path.startsWith(start))?.[1];
    const route = exact ?? prefix;
    if (route === undefined) {
        return Err({ code: "route_not_found", message: "There is no such path." });
    }
    const { methods } = route;
    const handler =
        [method, method === "HEAD" ? "GET" : method, "*"].flatMap(name =>
            Object.hasOwn(methods, name) ? methods[name] ?? [] : []
        )[0];
    return handler === undefined
        ? Err({ code: "method_not_allowed", message: "The path does not support the method." })
        : Ok({ handler, refusedWhileDraining: route.refusedWhileDraining });
}
