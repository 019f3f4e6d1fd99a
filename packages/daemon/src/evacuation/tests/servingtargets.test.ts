/** Guards against requests that reach targets or groups of an evacuated data centre. */
import type { RelayConfiguration, Target } from "@damaskvale/core";
import { expect } from "chai";
import type { EventFields } from "../../ports/eventlog.js";
import { createRelayState } from "../../relay/state.js";
import type { RelayState } from "../../relay/statetypes.js";
import { createEvacuationState, type EvacuationState } from "../evacuationstate.js";

const host = (id: string, dataCentre: string, group: string, rank: number): Target => ({
    id,
    service: "pool",
    address: `${id}.example:80`,
    dataCentre,
    draining: false,
    registered: true,
    slots: 6,
    domain: dataCentre,
    stagedModels: [],
    busy: false,
    entryNumber: 0,
    model: "m",
    membership: { group: `${dataCentre}~m~1.${group}.2`, epoch: 1, rank, state: rank === 0 ? "open" : "ready" },
});
const plain = (id: string, dataCentre: string): Target => ({
    ...host(id, dataCentre, "0", 0),
    service: "portal",
    domain: undefined,
    membership: undefined,
});
/** A group of both data centres, whose head is in the first one. */
const mixed = [host("mixed-head", "a", "9", 0), { ...host("mixed-member", "a", "9", 1), dataCentre: "b" }];
const targets = [
    ...["a", "b"].flatMap(dataCentre => [
        host(`${dataCentre}-head`, dataCentre, "1", 0),
        host(`${dataCentre}-member`, dataCentre, "1", 1),
        plain(`${dataCentre}-portal`, dataCentre),
    ]),
    ...mixed,
];
const service = (name: string, engine?: object): RelayConfiguration["services"][number] => ({
    name,
    healthPath: "/",
    maximumConnections: 9,
    engine: engine as never,
});
const configuration: RelayConfiguration = {
    version: 1,
    routes: [],
    services: [service("pool", { models: [{ name: "m", size: 2 }] }), service("portal")],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
};

describe("targets of evacuated data centres", () => {
    let state: RelayState;
    let evacuations: EvacuationState;
    let events: { readonly name: string; readonly fields: EventFields; }[];
    let now: number;

    beforeEach(() => {
        events = [];
        now = 0;
        evacuations = createEvacuationState({
            clock: { monotonic: () => now, wall: () => now },
            log: { emit: (name, fields = {}) => void events.push({ name, fields }) },
            isKnownDataCentre: () => true,
        });
        state = createRelayState(() => undefined, evacuations.isEvacuated.bind(evacuations));
        evacuations.onChange(() => state.applyEvacuations());
        state.applyConfiguration(configuration);
        state.applyTargets(targets.map(target => ({ key: target.id, value: target })));
    });

    const heads = (): string[] => state.servingGroups("pool", "m").map(({ head }) => head.id).sort();
    const portals = (): string[] => state.servingTargets("portal").map(({ id }) => id).sort();
    const evacuate = (dataCentre: string, evacuated: boolean, offset: number): void =>
        evacuations.merge({ dataCentre, evacuated, era: 0, offset });

    const cases: readonly {
        readonly evacuated: readonly string[];
        readonly heads: readonly string[];
        readonly portals: readonly string[];
    }[] = [
        { evacuated: [], heads: ["a-head", "b-head", "mixed-head"], portals: ["a-portal", "b-portal"] },
        { evacuated: ["b"], heads: ["a-head"], portals: ["a-portal"] },
        { evacuated: ["a"], heads: ["b-head"], portals: ["b-portal"] },
        { evacuated: ["a", "b"], heads: [], portals: [] },
        { evacuated: ["elsewhere"], heads: ["a-head", "b-head", "mixed-head"], portals: ["a-portal", "b-portal"] },
    ];
    cases.forEach(({ evacuated, ...expected }) => {
        it(`leaves ${expected.heads.length} groups while [${evacuated.join()}] is evacuated, and all afterwards`, () => {
            evacuated.forEach((dataCentre, offset) => evacuate(dataCentre, true, offset));
            expect({ heads: heads(), portals: portals() }).to.deep.equal(expected);
            evacuated.forEach((dataCentre, offset) => evacuate(dataCentre, false, 10 + offset));
            expect(heads().length).to.equal(3);
        });
    });

    it("keeps the targets known, so that groups are not dissolved", () => {
        evacuate("b", true, 1);
        expect(state.targetsOf("pool").length).to.equal(6);
    });

    it("logs begin and end once, and remembers when an evacuation ended", () => {
        evacuate("b", true, 1);
        evacuations.merge({ dataCentre: "b", evacuated: true, era: 0, offset: 1 }, "other");
        now = 500;
        evacuate("b", false, 2);
        expect(events.map(({ name }) => name)).to.deep.equal(["evacuationBegan", "evacuationEnded"]);
        expect(evacuations.endedAt("b")).to.equal(500);
        evacuate("b", true, 3);
        expect(evacuations.endedAt("b")).to.equal(undefined);
    });
});
