/** Guards against groups of an evacuated data centre that are taken apart, or that hide that a model has no other group. */
import { createDemandMeter, type EngineHost, type EngineProfile, type Service, type Target } from "@damaskvale/core";
import { expect } from "chai";
import { countGroupsByModel, createFleetViews } from "../fleetviews.js";
import { createReassignments } from "../reassignments.js";
import { usableFleet } from "../usablefleet.js";

/** Longer than a model has to be without a group until others are taken apart for it. */
const ROUNDS = 50;
const ROUND_MILLISECONDS = 100;

const engine = {
    models: ["served-once", "served-often"].map(name => ({ name, size: 2, share: 1, loadMilliseconds: 1 })),
} as unknown as EngineProfile;
const service: Service = { name: "pool", healthPath: "/", maximumConnections: 9, engine };

/** Returns the hosts of an open group of two. */
const groupOf = (domain: string, model: string, number: number): Target[] =>
    [0, 1].map(rank => ({
        id: `${domain}-${number}-${rank}`,
        service: "pool",
        address: `${domain}-${number}-${rank}:80`,
        dataCentre: domain,
        draining: false,
        registered: true,
        slots: 6,
        domain,
        stagedModels: [model],
        busy: false,
        entryNumber: 0,
        model,
        membership: { group: `${domain}~${model}~1.${number}.2`, epoch: 1, rank, state: rank === 0 ? "open" : "ready" },
    }));
const targets = [
    ...groupOf("a", "served-often", 0),
    ...groupOf("a", "served-often", 1),
    ...groupOf("b", "served-once", 0),
    ...groupOf("b", "served-often", 1),
];
const view = createFleetViews({ targetsOf: () => targets, lookup: () => ({ findService: () => service }) as never }, 1)
    .viewOf("pool");
/** All domains are planned by this daemon. */
const ownHosts = new Map(
    [...view.hostsByDomain].map(([domain, hosts]) => [
        domain,
        hosts.map(target => ({ target, lost: false, unreachable: false }) as unknown as EngineHost),
    ]),
);
const groupsByModel = countGroupsByModel(view, view.hostsByDomain, engine.models);

const cases: readonly {
    readonly evacuated: readonly string[];
    readonly counts: readonly (readonly [model: string, groups: number])[];
    readonly reassigned: readonly string[];
}[] = [
    { evacuated: [], counts: [["served-once", 1], ["served-often", 3]], reassigned: [] },
    { evacuated: ["a"], counts: [["served-once", 1], ["served-often", 1]], reassigned: [] },
    { evacuated: ["b"], counts: [["served-once", 0], ["served-often", 2]], reassigned: ["a"] },
    { evacuated: ["a", "b"], counts: [["served-once", 0], ["served-often", 0]], reassigned: [] },
    { evacuated: ["elsewhere"], counts: [["served-once", 1], ["served-often", 3]], reassigned: [] },
];

describe("planned fleet while data centres are evacuated", () => {
    cases.forEach(({ evacuated, counts, reassigned }) => {
        it(`takes groups apart in [${reassigned.join()}] while [${evacuated.join()}] is evacuated`, () => {
            const fleet = usableFleet(view, { ownHosts, groupsByModel }, engine, name => evacuated.includes(name));
            expect([...fleet.groupsByModel]).to.deep.equal(counts);
            let now = 0;
            const demand = createDemandMeter();
            const reassignments = createReassignments({
                clock: { monotonic: () => now, wall: () => now },
                log: { emit: () => undefined },
                demandOf: () => demand,
            });
            const due = new Set<string>();
            for (let round = 0; round < ROUNDS; round += 1) {
                now += ROUND_MILLISECONDS;
                engine.models.forEach(({ name }) => demand.record(name, 1, now));
                reassignments.update(service, engine, fleet).forEach(({ due: isDue }, domain) =>
                    isDue && due.add(domain)
                );
            }
            expect([...due]).to.deep.equal(reassigned);
        });
    });
});
