/** A configuration that serves nobody, or has entries that do not do what they say, is told before it is published. */
import { expect } from "chai";
import { findConfigurationIssues } from "../check.js";
import type { RelayConfiguration, Route, Service } from "../types.js";

const route: Route = {
    name: "status",
    hostname: "portal",
    prefix: "/status/",
    kind: "repeatable",
    resumable: false,
    maximumAttempts: 3,
    timeoutMilliseconds: 1_000,
    latencyObjectiveMilliseconds: 150,
    priority: 5,
    isPublic: false,
    targets: [{ service: "plain", weight: 1 }],
};
const service: Service = { name: "plain", healthPath: "/health", maximumConnections: 100 };
const sound: RelayConfiguration = {
    version: 8,
    routes: [route],
    services: [service],
    teams: [{ name: "red", keys: ["k1"] }],
    limits: { headerBytes: 100, bodyBytes: 1_000, headerTimeoutMilliseconds: 10, idleTimeoutMilliseconds: 10 },
};
const withRoute = (fields: Partial<Route>): RelayConfiguration => ({ ...sound, routes: [{ ...route, ...fields }] });
const split = (weight: number, name = "plain"): RelayConfiguration =>
    withRoute({ targets: [{ service: "plain", weight: 1 }, { service: name, weight }] });
const withLimits = (fields: Partial<RelayConfiguration["limits"]>): RelayConfiguration => ({
    ...sound,
    limits: { ...sound.limits, ...fields },
});
const withCold = (milliseconds: number, requestsPerSecond: number): RelayConfiguration => {
    const coldService = { ...service, coldStart: { milliseconds, requestsPerSecond } };
    return { ...sound, services: [coldService] };
};

const cases: readonly (readonly [name: string, configuration: RelayConfiguration, findings: readonly string[]])[] = [
    ["finds nothing in a sound configuration", sound, []],
    ["a configuration without routes", { ...sound, routes: [], services: [] }, ["error no_routes"]],
    ["a route that is shadowed", { ...sound, routes: [route, { ...route, name: "other" }] }, [
        "warning route_shadowed",
    ]],
    ["two routes of one name", { ...sound, routes: [route, { ...route, prefix: "/" }] }, ["warning duplicate_route"]],
    ["no shadow under another host", { ...sound, routes: [route, { ...route, name: "b", hostname: "b" }] }, []],
    ["a prefix without its last slash", withRoute({ prefix: "/status" }), ["warning prefix_without_slash"]],
    ["a host with a port", withRoute({ hostname: "portal:80" }), ["warning invalid_host"]],
    ["a split to an unknown service", split(1, "gone"), ["error unknown_service"]],
    ["a split with the weight 0", split(0), ["warning weight_zero"]],
    ["a negative weight", split(-1), ["error negative_weight"]],
    ["a route without targets", { ...withRoute({ targets: [] }), services: [] }, ["error route_without_service"]],
    [
        "a route whose only weight is 0",
        withRoute({ targets: [{ service: "plain", weight: 0 }] }),
        ["error route_without_service", "warning weight_zero"],
    ],
    ["a timeout below the objective", withRoute({ timeoutMilliseconds: 100 }), ["warning timeout_below_objective"]],
    ["no time", withRoute({ timeoutMilliseconds: 0 }), ["error invalid_timeout"]],
    ["as many attempts as fit", withRoute({ maximumAttempts: 6 }), []],
    ["more attempts than fit", withRoute({ maximumAttempts: 7 }), ["warning too_many_attempts"]],
    ["no attempt", withRoute({ maximumAttempts: 0 }), ["error invalid_attempts"]],
    ["half an attempt", withRoute({ maximumAttempts: 1.5 }), ["error invalid_attempts"]],
    ["an unused service", { ...sound, services: [service, { ...service, name: "b" }] }, ["warning unused_service"]],
    ["a service stated twice", { ...sound, services: [service, service] }, ["error duplicate_service"]],
    ["a cold rate without a cold time", withCold(0, 17), ["warning cold_rate_without_time"]],
    ["a cold rate with a cold time", withCold(3_000, 17), []],
    ["a team without keys", { ...sound, teams: [{ name: "red", keys: [] }] }, ["warning team_without_keys"]],
    [
        "a key of two teams",
        { ...sound, teams: [{ name: "red", keys: ["k1"] }, { name: "blue", keys: ["k1", "k2"] }] },
        ["error shared_key"],
    ],
    ["a header limit above the body limit", withLimits({ headerBytes: 2_000 }), ["warning header_above_body"]],
    ["a limit that lets nothing through", withLimits({ idleTimeoutMilliseconds: 0 }), ["error invalid_limit"]],
];

describe("check of a configuration", () => {
    cases.forEach(([name, configuration, findings]) =>
        it(name, () => {
            const found = findConfigurationIssues(configuration).map(({ severity, code }) => `${severity} ${code}`);
            expect(found).to.deep.equal(findings);
        })
    );

    it("tells a version that would not come into force", () => {
        const codesAt = (inForce: number): string[] => findConfigurationIssues(sound, inForce).map(({ code }) => code);
        expect([codesAt(7), codesAt(8), codesAt(9)]).to.deep.equal([
            [],
            ["version_not_higher"],
            ["version_not_higher"],
        ]);
    });

    it("prints no key", () => {
        const teams = [{ name: "red", keys: ["secret"] }, { name: "red", keys: ["secret"] }];
        expect(JSON.stringify(findConfigurationIssues({ ...sound, teams }))).not.to.contain("secret");
    });
});
