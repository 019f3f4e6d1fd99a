/** Checks a configuration before it is published: what cannot work, entries that never match, and limits that contradict. */
import type { CallerLimits, RelayConfiguration, Route, Service, Team } from "./types.js";

/** An `error` is refused or serves nobody; a `warning` is an entry or a value that does not do what it says. */
export type FindingSeverity = "error" | "warning";

/** A finding about one entry of a configuration. */
export interface ConfigurationFinding {
    readonly severity: FindingSeverity;
    readonly code: string;
    /** Kind and name of the entry, for example `route status`. */
    readonly entry: string;
    readonly message: string;
}

/** A service with its limit on cold targets, where it states one. */
type CheckedService = Service & {
    readonly coldStart?: { readonly milliseconds: number; readonly requestsPerSecond: number; };
};

type Report = (severity: FindingSeverity, code: string, message: string) => ConfigurationFinding;

/** Returns all findings about a configuration. `inForceVersion` is the version that it is to replace, if there is one. */
export function findConfigurationIssues(
    configuration: RelayConfiguration,
    inForceVersion?: number,
): readonly ConfigurationFinding[] {
    const { version, routes, services, teams, limits } = configuration;
    const report = reportOn("configuration");
    const isNotNewer = inForceVersion !== undefined && version <= inForceVersion;
    return [
        ...when(
            isNotNewer,
            report(
                "error",
                "version_not_higher",
                `Its version ${version} is not above ${inForceVersion}, which is in force.`,
            ),
        ),
        ...when(
            routes.length === 0,
            report("error", "no_routes", "It has no routes, so that every request is denied."),
        ),
        ...routes.flatMap((route, index) => findRouteIssues(route, configuration, routes.slice(index + 1))),
        ...services.flatMap((service, index) =>
            findServiceIssues(service, services.slice(index + 1).map(({ name }) => name), routes)
        ),
        ...(teams ?? []).flatMap((team, index) => findTeamIssues(team, (teams ?? []).slice(index + 1))),
        ...findLimitIssues(limits),
    ];
}

function reportOn(entry: string): Report {
    return (severity, code, message) => ({ severity, code, entry, message });
}

function when(condition: boolean, finding: ConfigurationFinding): readonly ConfigurationFinding[] {
    return condition ? [finding] : [];
}

function findRouteIssues(
    route: Route,
    { services }: RelayConfiguration,
    laterRoutes: readonly Route[],
): readonly ConfigurationFinding[] {
    const report = reportOn(`route ${route.name}`);
    const { hostname, prefix } = route;
    const shadowing = laterRoutes.find(later => later.hostname === hostname && later.prefix === prefix);
    const names = new Set(services.map(({ name }) => name));
    const serves = route.targets.some(({ service, weight }) => weight > 0 && names.has(service));
    return [
        ...when(
            laterRoutes.some(({ name }) => name === route.name),
            report(
                "warning",
                "duplicate_route",
                "Another route has the same name, so that logs do not tell them apart.",
            ),
        ),
        ...when(
            shadowing !== undefined,
            report(
                "warning",
                "route_shadowed",
                `It never matches: route ${shadowing?.name} has the same host ${hostname} and prefix ${prefix}.`,
            ),
        ),
        ...when(
            !prefix.startsWith("/") || !prefix.endsWith("/"),
            report(
                "warning",
                "prefix_without_slash",
                `It never matches: its prefix ${prefix} must begin and end with a slash.`,
            ),
        ),
        ...when(
            hostname === "" || hostname.includes(":"),
            report(
                "warning",
                "invalid_host",
                `It never matches: its host "${hostname}" must be a name without a port.`,
            ),
        ),
        ...when(!serves, report("error", "route_without_service", "No known service gets a part of its requests.")),
        ...route.targets.flatMap(({ service, weight }) => [
            ...when(!names.has(service), report("error", "unknown_service", `Service ${service} does not exist.`)),
            ...when(
                weight === 0,
                report("warning", "weight_zero", `Service ${service} has the weight 0 and gets no requests.`),
            ),
            ...when(weight < 0, report("error", "negative_weight", `Service ${service} has the weight ${weight}.`)),
        ]),
        ...findAttemptIssues(route, report),
    ];
}

/** Checks the times of a route against each other, and its attempts against the time that they have. */
function findAttemptIssues(route: Route, report: Report): readonly ConfigurationFinding[] {
    const { maximumAttempts, timeoutMilliseconds: timeout, latencyObjectiveMilliseconds: objective } = route;
    const isCount = Number.isInteger(maximumAttempts) && maximumAttempts >= 1;
    const usefulAttempts = Math.max(1, Math.floor(timeout / objective));
    return [
        ...when(
            !isCount,
            report("error", "invalid_attempts", `It allows ${maximumAttempts} attempts; at least 1 is needed.`),
        ),
        ...when(!(timeout > 0), report("error", "invalid_timeout", `Its timeout is ${timeout} ms.`)),
        ...when(
            timeout > 0 && timeout < objective,
            report(
                "warning",
                "timeout_below_objective",
                `Its timeout of ${timeout} ms ends requests before its latency objective of ${objective} ms.`,
            ),
        ),
        ...when(
            isCount && objective > 0 && timeout >= objective && maximumAttempts > usefulAttempts,
            report(
                "warning",
                "too_many_attempts",
                `It allows ${maximumAttempts} attempts, but ${usefulAttempts} of ${objective} ms fill its timeout of ${timeout} ms.`,
            ),
        ),
    ];
}

function findServiceIssues(
    service: CheckedService,
    laterNames: readonly string[],
    routes: readonly Route[],
): readonly ConfigurationFinding[] {
    const report = reportOn(`service ${service.name}`);
    const { coldStart } = service;
    const isUsed = routes.some(({ targets }) => targets.some(target => target.service === service.name));
    const hasRateOnly = coldStart !== undefined && coldStart.requestsPerSecond > 0 && !(coldStart.milliseconds > 0);
    return [
        ...when(
            laterNames.includes(service.name),
            report("error", "duplicate_service", "It is stated twice; the later one is in force."),
        ),
        ...when(!isUsed, report("warning", "unused_service", "No route sends requests to it.")),
        ...when(
            hasRateOnly,
            report(
                "warning",
                "cold_rate_without_time",
                "It limits the rate of cold targets, but states no time for which they are cold.",
            ),
        ),
    ];
}

function findTeamIssues(team: Team, laterTeams: readonly Team[]): readonly ConfigurationFinding[] {
    const report = reportOn(`team ${team.name}`);
    const sharing = laterTeams.find(({ keys }) => keys.some(key => team.keys.includes(key)));
    return [
        ...when(
            team.keys.length === 0,
            report("warning", "team_without_keys", "It has no keys, so that no request is its own."),
        ),
        ...when(
            sharing !== undefined,
            report(
                "error",
                "shared_key",
                `It shares a key with team ${sharing?.name}, to which requests with it belong.`,
            ),
        ),
        ...when(
            laterTeams.some(({ name }) => name === team.name),
            report("warning", "duplicate_team", "Another team has the same name."),
        ),
    ];
}

function findLimitIssues(limits: CallerLimits): readonly ConfigurationFinding[] {
    const report = reportOn("limits");
    const invalid = Object.entries(limits).filter(([, value]) => !(value > 0));
    return [
        ...invalid.map(([name, value]) => report("error", "invalid_limit", `The limit ${name} is ${String(value)}.`)),
        ...when(
            limits.bodyBytes > 0 && limits.headerBytes > limits.bodyBytes,
            report(
                "warning",
                "header_above_body",
                `Headers may have ${limits.headerBytes} bytes, more than the ${limits.bodyBytes} of bodies.`,
            ),
        ),
    ];
}
