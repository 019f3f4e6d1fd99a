/** Looks up the route and the team of a request in one version of the configuration. */
import { findPrioritizedServices } from "../shedding/priorities.js";
import type { RelayConfiguration, Route, Service, Team } from "./types.js";

/** Indexes of one version of the configuration. */
export interface RouteLookup {
    readonly configuration: RelayConfiguration;
    /** Returns the route of the host name with the longest matching path prefix; the host name may include a port. */
    findRoute(hostname: string, path: string): Route | undefined;
    /** Returns the team that a key belongs to. */
    findTeam(key: string): Team | undefined;
    findService(name: string): Service | undefined;
    /** Whether the routes of the service state different priorities, so that its requests are admitted by priority. */
    isPrioritized(service: string): boolean;
}

/** Why the configuration does not admit a request. */
export type RouteRefusal = "unknown-route" | "unknown-key";

/** Route and team of a request that the configuration admits. */
export interface AdmittedRoute {
    readonly route: Route;
    readonly team?: Team;
    /** Priority of the team if it has one, otherwise of the route. */
    readonly priority: number;
}

/** Creates the lookup of a configuration; without `usesPriorities`, no service is prioritized. */
export function createRouteLookup(configuration: RelayConfiguration, usesPriorities = true): RouteLookup {
    const routes = new Map<string, Map<string, Route>>();
    configuration.routes.forEach(route => {
        const routesOfHost = routes.get(route.hostname) ?? new Map<string, Route>();
        routesOfHost.set(route.prefix, route);
        routes.set(route.hostname, routesOfHost);
    });
    const teams = new Map((configuration.teams ?? []).flatMap(team => team.keys.map(key => [key, team] as const)));
    const services = new Map(configuration.services.map(service => [service.name, service]));
    const prioritized = findPrioritizedServices(configuration);
    return {
        configuration,
        findRoute: (hostname, path) => {
            const routesOfHost = routes.get(hostname.replace(/:\d+$/, "").toLowerCase());
            if (routesOfHost === undefined) {
                return undefined;
            }
            const prefix = prefixesOf(path).find(candidate => routesOfHost.has(candidate));
            return prefix === undefined ? undefined : routesOfHost.get(prefix);
        },
        findTeam: key => teams.get(key),
        findService: name => services.get(name),
        isPrioritized: service => usesPriorities && prioritized.has(service),
    };
}

/** Returns the prefixes of a path that end with a slash, longest first. */
function prefixesOf(path: string): string[] {
    const pathname = path.split("?", 1)[0] ?? "";
    const ends = [...pathname].flatMap((character, index) => character === "/" ? [index + 1] : []);
    return ends.reverse().map(end => pathname.slice(0, end));
}

/** Decides whether the configuration admits a request: checks first its route, then its key. */
export function admitRoute(
    lookup: RouteLookup,
    request: { readonly hostname: string; readonly path: string; readonly key?: string; },
): AdmittedRoute | RouteRefusal {
    const route = lookup.findRoute(request.hostname, request.path);
    if (route === undefined) {
        return "unknown-route";
    }
    if (lookup.configuration.teams === undefined || route.isPublic) {
        return { route, priority: route.priority };
    }
    const team = request.key === undefined ? undefined : lookup.findTeam(request.key);
    return team === undefined ? "unknown-key" : { route, team, priority: team.priority ?? route.priority };
}

/** Picks a service of a route by weight, if any weight is above 0; `draw` is a random number from 0 to below 1. */
export function pickService(route: Route, draw: number): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = draw * total;
    return route.targets.find(target => {
        remaining -= target.weight;
        return remaining < 0;
    })?.service;
}
