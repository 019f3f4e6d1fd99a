/** Requests are routed by host name and longest prefix, and admitted by the key of a team. */
import { expect } from "chai";
import { admitRoute, createRouteLookup, pickService } from "../lookup.js";
import type { RelayConfiguration, Route } from "../types.js";

const route = (name: string, prefix: string, fields: Partial<Route> = {}): Route => ({
    name,
    hostname: "one.example",
    prefix,
    kind: "repeatable",
    resumable: false,
    maximumAttempts: 2,
    timeoutMilliseconds: 1_000,
    latencyObjectiveMilliseconds: 300,
    priority: 2,
    isPublic: false,
    targets: [{ service: "portal", weight: 1 }],
    ...fields,
});
const configuration: RelayConfiguration = {
    version: 3,
    routes: [
        route("root", "/"),
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("open", "/open/", { isPublic: true }),
        route("other", "/a/", { hostname: "two.example" }),
    ],
    services: [],
    teams: [{ name: "red", keys: ["k1", "k2"], priority: 0 }, { name: "blue", keys: ["k3"] }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
};
const lookup = createRouteLookup(configuration);

const cases = [
    { hostname: "one.example", path: "/a/b/c?x=/z/", key: "k1", expected: "long red 0" },
    { hostname: "one.example:8080", path: "/a/bc", key: "k3", expected: "short blue 2" },
    { hostname: "ONE.example", path: "/b", key: "k2", expected: "root red 0" },
    { hostname: "two.example", path: "/a/b/", key: "k1", expected: "other red 0" },
    { hostname: "two.example", path: "/b/", key: "k1", expected: "unknown-route" },
    { hostname: "three.example", path: "/a/", key: "k1", expected: "unknown-route" },
    { hostname: "one.example", path: "/a/", key: "k9", expected: "unknown-key" },
    { hostname: "one.example", path: "/a/", key: undefined, expected: "unknown-key" },
    { hostname: "one.example", path: "/open/x", key: undefined, expected: "open none 2" },
];

describe("admitRoute", () => {
    cases.forEach(({ expected, ...request }) => {
        it(`admits ${request.hostname}${request.path} with ${request.key ?? "no key"} as ${expected}`, () => {
            const admitted = admitRoute(lookup, request);
            const text = typeof admitted === "string"
                ? admitted
                : `${admitted.route.name} ${admitted.team?.name ?? "none"} ${admitted.priority}`;
            expect(text).to.equal(expected);
        });
    });

    it("admits all requests if the configuration has no teams", () => {
        const open = createRouteLookup({ ...configuration, teams: undefined });
        expect(admitRoute(open, { hostname: "one.example", path: "/a/" })).to.have.nested.property(
            "route.name",
            "short",
        );
    });
});

describe("pickService", () => {
    const split = route("split", "/", { targets: [{ service: "x", weight: 90 }, { service: "y", weight: 10 }] });
    [{ draw: 0, service: "x" }, { draw: 0.89, service: "x" }, { draw: 0.91, service: "y" }].forEach(
        ({ draw, service }) => {
            it(`picks ${service} for ${draw}`, () => {
                expect(pickService(split, draw)).to.equal(service);
            });
        },
    );

    it("picks no service if all weights are zero", () => {
        expect(pickService(route("none", "/", { targets: [{ service: "x", weight: 0 }] }), 0.5)).to.equal(undefined);
    });
});
