/** Operators list and lift the quarantine at the metrics address, and metrics stay there. */
import type { PartStatement } from "@damaskvale/core";
import { expect } from "chai";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createDaemonMetrics } from "../metrics.js";
import { createQuarantineHandler } from "../quarantinehandler.js";

const statement: PartStatement = {
    part: "dead01",
    revision: 1,
    state: "quarantined",
    statedAt: 0,
    crashes: 3,
    cause: "crashes",
    trials: 0,
    wasProven: false,
    isAmbiguous: false,
};
const listed = '{"parts":[{"part":"dead01","crashes":3,"cause":"crashes","trials":0}]}';

describe("the quarantine at the metrics address", () => {
    const released: string[] = [];
    let server: Server;

    before(async () => {
        const metrics = createDaemonMetrics({ emit: () => undefined }, {
            requestsInProgress: () => 0,
            linesDropped: () => 0,
            configurationVersion: () => 0,
            servingGroups: () => 0,
            limitedTargets: () => 0,
            restingTargets: () => 0,
            unreadableStatements: () => 0,
            slowTargets: () => 0,
            failingTargets: () => 0,
            quarantinedParts: () => 1,
            evacuatedDataCentres: () => 1,
            coldTargets: () => 0,
            storeEra: () => 0,
            callerBytes: () => 0,
            callerConnections: () => 0,
            storeErasIgnored: () => 0,
        });
        const handler = createQuarantineHandler({
            quarantined: () => [statement],
            release: part => {
                released.push(part);
                return part === statement.part;
            },
        });
        server = await metrics.serve("127.0.0.1:0", handler);
    });
    after(() => server.close());

    const cases: readonly {
        readonly method: string;
        readonly path: string;
        readonly status: number;
        readonly body?: string;
        readonly releases?: readonly string[];
    }[] = [
        { method: "GET", path: "/quarantine", status: 200, body: listed },
        { method: "DELETE", path: "/quarantine/dead01", status: 204, releases: ["dead01"] },
        { method: "DELETE", path: "/quarantine/DEAD01", status: 204, releases: ["dead01"] },
        { method: "DELETE", path: "/quarantine/aa", status: 404, releases: ["aa"] },
        { method: "DELETE", path: "/quarantine/not-an-id", status: 405 },
        { method: "DELETE", path: "/quarantine", status: 405 },
        { method: "GET", path: "/quarantine/dead01", status: 404 },
        { method: "GET", path: "/metrics", status: 200 },
    ];
    cases.forEach(({ method, path, status, body, releases = [] }) =>
        it(`answers ${method} ${path} with ${status}`, async () => {
            released.length = 0;
            const { port } = server.address() as AddressInfo;
            const response = await fetch(`http://127.0.0.1:${port}${path}`, { method });
            const text = await response.text();
            expect(response.status).to.equal(status);
            expect(released).to.deep.equal(releases);
            if (body !== undefined) {
                expect(text).to.equal(body);
            }
        })
    );
});
