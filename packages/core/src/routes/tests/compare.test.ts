/** What a version changes is told by entry and field, without the keys of teams. */
import { expect } from "chai";
import { compareConfigurations } from "../compare.js";
import type { RelayConfiguration, Route } from "../types.js";

const route = {
    name: "status",
    hostname: "portal",
    prefix: "/",
    targets: [{ service: "plain", weight: 1 }],
} as unknown as Route;
const before: RelayConfiguration = {
    version: 1,
    routes: [route],
    services: [{ name: "plain", healthPath: "/health", maximumConnections: 100 }],
    teams: [{ name: "red", keys: ["secret-1", "secret-2"], priority: 1 }],
    limits: { headerBytes: 100, bodyBytes: 1_000, headerTimeoutMilliseconds: 10, idleTimeoutMilliseconds: 10 },
};

describe("differences between versions of the configuration", () => {
    it("are none between equal ones, whatever their numbers", () => {
        expect(compareConfigurations(before, { ...before, version: 2 })).to.deep.equal([]);
    });

    it("name entries that come and go", () => {
        const after = { ...before, routes: [{ ...route, name: "fees" }], services: [] };
        expect(compareConfigurations(before, after).map(({ kind, entry }) => `${kind} ${entry}`)).to.deep.equal([
            "removed route status",
            "removed service plain",
            "added route fees",
        ]);
    });

    it("name the fields that differ, also nested ones", () => {
        const after: RelayConfiguration = {
            ...before,
            routes: [{ ...route, targets: [{ service: "plain", weight: 2 }] }],
            services: [{ ...before.services[0], engine: { slots: 4 } } as never],
            limits: { ...before.limits, bodyBytes: 2_000 },
        };
        const fields = compareConfigurations(before, after).flatMap(({ entry, fields: changed }) =>
            changed.map(({ field, before: old, after: value }) => [entry, field, old, value])
        );
        expect(fields).to.deep.equal([
            ["route status", "targets", [{ service: "plain", weight: 1 }], [{ service: "plain", weight: 2 }]],
            ["service plain", "engine.slots", undefined, 4],
            ["limits", "bodyBytes", 1_000, 2_000],
        ]);
    });

    it("count the keys of a team that change, and do not show them", () => {
        const after = { ...before, teams: [{ name: "red", keys: ["secret-2", "secret-3", "secret-4"], priority: 2 }] };
        const differences = compareConfigurations(before, after);
        expect(
            differences.map(({ entry, fields }) => [entry, ...fields.map(({ field, after: value }) => [field, value])]),
        )
            .to.deep.equal([
                ["team red", ["priority", 2]],
                ["keys of team red", ["keysAdded", 2], ["keysRemoved", 1]],
            ]);
        expect(JSON.stringify(differences)).not.to.contain("secret");
    });

    it("tell that keys are no longer required", () => {
        const differences = compareConfigurations(before, { ...before, teams: undefined });
        expect(differences.map(({ kind, entry }) => `${kind} ${entry}`)).to.include("changed keys");
    });
});
