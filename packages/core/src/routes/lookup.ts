/** Lookup of the route and the team of a request in one version of the configuration. */
import type { RelayConfiguration, Route, Service, Team } from "./types.js";

/** Indexes of one version of the configuration. */
export interface RouteLookup {
    readonly configuration: RelayConfiguration;
    /** Route with the longest prefix of the path among those of the host name; the name may carry a port. */
    findRoute(hostname: string, path: string): Route | undefined;
    /** Team that holds a key. */
    findTeam(key: string): Team | undefined;
    findService(name: string): Service | undefined;
}

/** Why a request is not allowed. */
export type RouteRefusal = "unknown-route" | "unknown-key";

/** A request that the configuration allows. */
export interface AdmittedRoute {
    readonly route: Route;
    readonly team?: Team;
    /** Priority of the team, or else of the route. */
    readonly priority: number;
}

/** Indexes a configuration. */
export function createRouteLookup(configuration: RelayConfiguration): RouteLookup {
    const routes = new Map<string, Map<string, Route>>();
    configuration.routes.forEach(route => {
        const ofHost = routes.get(route.hostname) ?? new Map<string, Route>();
        ofHost.set(route.prefix, route);
        routes.set(route.hostname, ofHost);
    });
    const teams = new Map((configuration.teams ?? []).flatMap(team => team.keys.map(key => [key, team] as const)));
    const services = new Map(configuration.services.map(service => [service.name, service]));
    return {
        configuration,
        findRoute: (hostname, path) => {
            const ofHost = routes.get(hostname.replace(/:\d+$/, "").toLowerCase());
            if (ofHost === undefined) {
                return undefined;
            }
            const prefix = prefixesOf(path).find(candidate => ofHost.has(candidate));
            return prefix === undefined ? undefined : ofHost.get(prefix);
        },
        findTeam: key => teams.get(key),
        findService: name => services.get(name),
    };
}

/** Prefixes of a path that end with a slash, longest first. */
function prefixesOf(path: string): string[] {
    const plain = path.split("?", 1)[0] ?? "";
    const ends = [...plain].flatMap((character, index) => character === "/" ? [index + 1] : []);
    return ends.reverse().map(end => plain.slice(0, end));
}

/** Decides whether the configuration allows a request: first its route, then its key. */
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

/** Picks a service of a route by weight; `draw` is a random number from 0 to below 1. */
export function pickService(route: Route, draw: number): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let rest = draw * total;
    return route.targets.find(target => {
        rest -= target.weight;
        return rest < 0;
    })?.service;
}
