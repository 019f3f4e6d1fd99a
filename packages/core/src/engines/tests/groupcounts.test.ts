/** The chosen groups serve all models in proportion to their demand and leave few hosts idle. */
import { expect } from "chai";
import type { ModelProfile } from "../../routes/types.js";
import { chooseGroupCounts, type ModelDemand } from "../groupcounts.js";

const profile = (name: string, size: number, loadMilliseconds: number): ModelProfile => ({
    name,
    size,
    share: 0.5,
    pace: 1,
    loadMilliseconds,
    warmMilliseconds: 1_000,
});
const demands = (
    large: number,
    small: number,
    groups: readonly [number, number] = [0, 0],
    holders: readonly [number, number] = [0, 0],
    groupsInDomain: readonly [number, number] = [0, 0],
    sizes: readonly [number, number] = [6, 3],
) => [
    {
        profile: profile("large", sizes[0], 16_000),
        demand: large,
        groups: groups[0],
        groupsInDomain: groupsInDomain[0],
        holders: holders[0],
    },
    {
        profile: profile("small", sizes[1], 12_000),
        demand: small,
        groups: groups[1],
        groupsInDomain: groupsInDomain[1],
        holders: holders[1],
    },
];

interface Case {
    readonly guards: string;
    readonly demand: readonly ModelDemand[];
    readonly hosts: number;
    readonly empty?: number;
    readonly loads?: number;
    readonly loadsAreQuick?: boolean;
    readonly newGroups: readonly [number, number];
}

const cases: readonly Case[] = [
    { guards: "a model is left without a group", demand: demands(0.67, 0.33), hosts: 11, newGroups: [1, 1] },
    {
        guards: "a small group takes the hosts of a large one",
        demand: demands(0.67, 0.33, [5, 6]),
        hosts: 7,
        newGroups: [1, 0],
    },
    {
        guards: "hosts that could form a group stay idle",
        demand: demands(0.67, 0.33, [5, 6]),
        hosts: 5,
        newGroups: [0, 1],
    },
    { guards: "groups are formed from too few hosts", demand: demands(0.67, 0.33), hosts: 2, newGroups: [0, 0] },
    {
        guards: "hosts drop the weights of a lost group for a choice that is only slightly better",
        demand: demands(0.5, 0.5, [6, 7], [6, 0]),
        hosts: 6,
        empty: 0,
        newGroups: [1, 0],
    },
    {
        guards: "no group is formed because the best choice needs more loads than are allowed",
        demand: demands(0.1, 0.9, [6, 2], [6, 0]),
        hosts: 8,
        empty: 2,
        loads: 2,
        newGroups: [1, 0],
    },
    {
        guards: "hosts keep the weights of a model with little demand",
        demand: demands(0.1, 0.9, [6, 2], [6, 0]),
        hosts: 6,
        empty: 0,
        newGroups: [0, 2],
    },
    {
        guards: "a model is left without a group when demand is measured in milliseconds of work",
        demand: demands(3_450, 3_230, [0, 5], [6, 0]),
        hosts: 6,
        empty: 0,
        newGroups: [1, 0],
    },
    {
        guards: "the fleet starts with few groups of the large model although demand is equal",
        demand: demands(0.1117, 0.11, [4, 4]),
        hosts: 11,
        loadsAreQuick: true,
        newGroups: [1, 1],
    },
    {
        guards: "the only spare of a large group loads weights for another small group",
        demand: demands(0.5, 0.5, [6, 6], [1, 1], [1, 1]),
        hosts: 3,
        empty: 1,
        newGroups: [0, 0],
    },
    {
        guards: "a domain keeps more idle spares than it needs",
        demand: demands(0.5, 0.5, [6, 6], [1, 3], [1, 1]),
        hosts: 4,
        empty: 0,
        newGroups: [0, 1],
    },
    {
        guards: "six holders of the large model load another model although they could serve at once",
        demand: demands(0.42, 0.58, [5, 3], [6, 3]),
        hosts: 9,
        empty: 0,
        newGroups: [1, 1],
    },
    {
        guards: "the hosts of a large group load another model because a group of twelve loses hosts often",
        demand: demands(239, 666, [3, 15], [11, 7], [0, 1], [12, 6]),
        hosts: 18,
        empty: 0,
        newGroups: [1, 1],
    },
    {
        guards: "a model with little demand gets most groups",
        demand: demands(0.1, 0.9, [2, 1]),
        hosts: 6,
        newGroups: [0, 2],
    },
];

describe("chooseMix", () => {
    cases.forEach(({ guards, demand, hosts, empty = hosts, loads = hosts, loadsAreQuick = false, newGroups }) => {
        it(`guards against: ${guards}`, () => {
            const chosen = chooseGroupCounts(demand, { count: hosts, empty, loadsAllowed: loads, loadsAreQuick });
            expect([chosen.get("large"), chosen.get("small")]).to.deep.equal(newGroups);
        });
    });
});
