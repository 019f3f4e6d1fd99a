/** Deployment of the demo: hosts, daemons and services, and the configuration table of both users. */
import type { Row } from "@damaskvale/core";
import { createHash } from "node:crypto";
import type { ClusterSpec, EngineSpec } from "../cluster/cluster.js";

/** Data centres of the demo. */
export const dataCentres = ["pta-hall-a", "pta-hall-b", "jhb-annex"] as const;

/** API key of the callers of each team. */
export const callerKeys: Readonly<Record<string, string>> = Object.fromEntries(
    ["apostille-routing", "portal", "court-orders", "care-letters", "members", "knitter-notes"].map(team =>
        [team, `key-of-${team}-0001`] as const
    ),
);

const DAEMONS_PER_DATA_CENTRE = 3;
const createEngineSpecs = (dataCentre: string, fabricDomain: string, count: number, offset = 0): EngineSpec[] =>
    [...Array(count).keys()].map(index => ({
        host: `${dataCentre}-h${String(index + offset + 1).padStart(2, "0")}`,
        dataCentre,
        fabricDomain,
    }));

/** Processes of the demo: 9 daemons, 20 engines, 2 services and the platform. */
export const demoCluster: ClusterSpec = {
    daemons: dataCentres.flatMap(dataCentre =>
        [...Array(DAEMONS_PER_DATA_CENTRE).keys()].map(index => ({ name: `${dataCentre}-${index + 1}`, dataCentre }))
    ),
    engines: [
        ...createEngineSpecs("pta-hall-a", "pta-hall-a-rack-1", 8),
        ...createEngineSpecs("pta-hall-a", "pta-hall-a-rack-2", 2, 8),
        ...createEngineSpecs("pta-hall-b", "pta-hall-b-rack-1", 5),
        ...createEngineSpecs("jhb-annex", "jhb-annex-rack-1", 5),
    ],
    services: [{ name: "fee-receipts" }, { name: "subscription-changes" }],
};

/** Models of the demo. `groups` is the number of replica groups across all data centres that the table requests. */
export const demoModels = [
    {
        name: "certification-notes",
        members: 8,
        dataCentres: ["pta-hall-a"],
        groups: 1,
        downtimeWeight: 4,
        strandedWeight: 1,
    },
    {
        name: "certificate-checks",
        members: 2,
        dataCentres: ["pta-hall-b", "jhb-annex"],
        groups: 2,
        downtimeWeight: 4,
        strandedWeight: 1,
    },
    {
        name: "care-letters",
        members: 2,
        dataCentres: [...dataCentres],
        groups: 3,
        downtimeWeight: 1,
        strandedWeight: 4,
    },
] as const;

/** Returns the table rows of the demo, with the services at the given URLs. */
export function demoRows(services: readonly { readonly name: string; readonly url: string; }[]): Row[] {
    return [
        ...demoModels.map((
            { name, members, dataCentres: allowedDataCentres, downtimeWeight, strandedWeight },
        ): Row => ({
            kind: "model",
            name,
            version: "1",
            members,
            replicas: 1,
            dataCentres: [...allowedDataCentres],
            spares: 0,
            downtimeWeight,
            strandedWeight,
        })),
        createTeamRow("apostille-routing", ["certification-notes", "certificate-checks"], ["fee-receipts"], 4),
        createTeamRow("portal", ["certificate-checks"], ["fee-receipts"], 2),
        createTeamRow("court-orders", ["certification-notes", "certificate-checks"], [], 1),
        createTeamRow("care-letters", ["care-letters"], ["subscription-changes"], 4),
        createTeamRow("members", ["care-letters"], ["subscription-changes"], 2),
        createTeamRow("knitter-notes", ["care-letters"], [], 1),
        ...services.flatMap(({ name, url }): Row[] => [
            { kind: "service", name, urls: [url], timeoutMilliseconds: 10_000 },
            { kind: "call", name: `${name}-changes`, service: name, method: "*", path: "/", repeatable: "no" },
            { kind: "call", name: `${name}-reads`, service: name, method: "GET", path: "/", repeatable: "yes" },
        ]),
    ];
}

function createTeamRow(name: string, models: string[], services: string[], weight: number): Row {
    const keyHashes = [createHash("sha256").update(callerKeys[name]!).digest("hex")];
    return { kind: "team", name, keyHashes, models, services, weight, requestsPerSecond: 50, queueLength: 100 };
}
