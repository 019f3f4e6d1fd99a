/** A model that callers request gets a group, at the expense of others if need be; no other group is taken apart. */
import { expect } from "chai";
import { STARVATION_MILLISECONDS } from "../starvation.js";
import { type Circumstances, DRAIN_MILLISECONDS, type InitialDomain, SimulatedFleet } from "./simulatedfleet.js";

interface Case {
    readonly guards: string;
    readonly domains: Readonly<Record<string, InitialDomain>>;
    readonly circumstances?: Partial<Circumstances>;
    /** Time within which the large model serves; absent if it never does. */
    readonly servesWithinMilliseconds?: number;
    /** Number of groups that are closed in the whole time. */
    readonly closed: number;
    /** Domain of the closed groups, if it matters. */
    readonly closedDomain?: string;
}

const RUN_MILLISECONDS = 120_000;
const LARGE_LOAD_MILLISECONDS = 16_000;
/** Time for a host to be warmed up, a group to join and open, and for the rounds of planning between. */
const JOIN_AND_OPEN_MILLISECONDS = 3_000;
const HELD_MILLISECONDS = STARVATION_MILLISECONDS + DRAIN_MILLISECONDS + JOIN_AND_OPEN_MILLISECONDS;
const LOADED_MILLISECONDS = HELD_MILLISECONDS + LARGE_LOAD_MILLISECONDS;

const both = (): readonly string[] => ["large", "small"];
const fiveSmall = ["small", "small", "small", "small", "small"];

const cases: readonly Case[] = [
    {
        guards: "a requested model without a group while all hosts serve another model",
        domains: { d: { groups: fiveSmall, free: 1 } },
        servesWithinMilliseconds: LOADED_MILLISECONDS,
        closed: 1,
    },
    {
        guards: "a requested model waiting for the rate of loads for ever",
        domains: { d: { groups: fiveSmall, free: 1 } },
        circumstances: { loadsAllowed: 1 },
        servesWithinMilliseconds: LOADED_MILLISECONDS + JOIN_AND_OPEN_MILLISECONDS,
        closed: 1,
    },
    {
        guards: "taking groups apart for a model that nobody requests",
        domains: { d: { groups: fiveSmall, free: 1 } },
        circumstances: { requested: () => ["small"] },
        closed: 0,
    },
    {
        guards: "taking groups apart for a model whose requests ended meanwhile",
        domains: { d: { groups: fiveSmall, free: 1 } },
        circumstances: { requested: now => now < STARVATION_MILLISECONDS - 500 ? both() : ["small"] },
        closed: 0,
    },
    {
        guards: "taking groups apart although the free hosts suffice",
        domains: { d: { groups: fiveSmall, free: 3, freeHold: "large" } },
        servesWithinMilliseconds: JOIN_AND_OPEN_MILLISECONDS,
        closed: 0,
    },
    {
        guards: "taking groups apart although the free hosts suffice and load the weights one after the other",
        domains: { d: { groups: fiveSmall, free: 3 } },
        circumstances: { loadsAllowed: 1 },
        servesWithinMilliseconds: LARGE_LOAD_MILLISECONDS + JOIN_AND_OPEN_MILLISECONDS,
        closed: 0,
    },
    {
        guards: "taking groups of one domain apart although the free hosts of another one suffice",
        domains: { d: { groups: fiveSmall, free: 1 }, e: { groups: fiveSmall, free: 3 } },
        servesWithinMilliseconds: LARGE_LOAD_MILLISECONDS + JOIN_AND_OPEN_MILLISECONDS,
        closed: 0,
    },
    {
        guards: "two owners correcting the same shortage",
        domains: { d: { groups: ["small", "small"], free: 1 }, e: { groups: ["small", "small"], free: 1 } },
        servesWithinMilliseconds: LOADED_MILLISECONDS,
        closed: 1,
    },
    {
        guards: "a domain that must load the weights although free hosts of another one hold them",
        domains: {
            d: { groups: ["small", "small"], free: 2 },
            e: { groups: ["small", "small"], free: 2, freeHold: "large" },
        },
        servesWithinMilliseconds: LOADED_MILLISECONDS,
        closed: 1,
        closedDomain: "e",
    },
    {
        guards: "a model without a group for as long as the daemon of the best domain does nothing",
        domains: {
            d: { groups: ["small", "small"], free: 1, unowned: true },
            e: { groups: ["small", "small"], free: 1 },
        },
        servesWithinMilliseconds: 30_000 + LOADED_MILLISECONDS,
        closed: 1,
    },
    {
        guards: "taking the last group of a requested model apart",
        domains: { d: { groups: ["small"], free: 1 } },
        closed: 0,
    },
    {
        guards: "keeping the last group of a model that nobody requests",
        domains: { d: { groups: ["small"], free: 1 } },
        circumstances: { requested: () => ["large"] },
        servesWithinMilliseconds: LOADED_MILLISECONDS,
        closed: 1,
    },
    {
        guards: "taking more groups apart than the new group needs hosts",
        domains: { d: { groups: fiveSmall, free: 0 } },
        servesWithinMilliseconds: LOADED_MILLISECONDS,
        closed: 2,
    },
];

describe("a model without a group", () => {
    cases.forEach(({ guards, domains, circumstances, servesWithinMilliseconds, closed, closedDomain = "" }) => {
        it(`prevents ${guards}`, () => {
            const fleet = new SimulatedFleet(domains, { requested: both, ...circumstances });
            const servedAt = fleet.run(RUN_MILLISECONDS, () => fleet.servingGroups("large") > 0);
            fleet.run(RUN_MILLISECONDS);
            expect(fleet.violations).to.deep.equal([]);
            expect([...fleet.closed].filter(group => !group.startsWith(closedDomain))).to.deep.equal([]);
            expect([fleet.closed.size, fleet.servingGroups("large") > 0]).to.deep.equal([
                closed,
                servesWithinMilliseconds !== undefined,
            ]);
            expect(servedAt).to.be.at.most(servesWithinMilliseconds ?? RUN_MILLISECONDS);
        });
    });

    it("gets the group that the previous owner closed, when its domain changes hands midway", () => {
        const fleet = new SimulatedFleet({ d: { groups: fiveSmall, free: 1 } }, { requested: both });
        fleet.run(STARVATION_MILLISECONDS + 2_000);
        expect(fleet.closed.size).to.equal(1);
        fleet.replaceOwner("d");
        const servedAt = fleet.run(RUN_MILLISECONDS, () => fleet.servingGroups("large") > 0);
        expect(servedAt).to.be.at.most(LOADED_MILLISECONDS + STARVATION_MILLISECONDS);
        expect([fleet.closed.size, fleet.servingGroups("small"), fleet.violations]).to.deep.equal([1, 4, []]);
    });

    it("keeps its group although the other model has one group only and the larger demand", () => {
        const fleet = new SimulatedFleet(
            { d: { groups: ["small", "small"], free: 1 } },
            { requested: both, demand: { large: 1, small: 20 } },
        );
        fleet.run(RUN_MILLISECONDS);
        fleet.loseGroup("small");
        fleet.run(2 * RUN_MILLISECONDS);
        expect([fleet.closed.size, fleet.servingGroups("large"), fleet.servingGroups("small")])
            .to.deep.equal([1, 1, 0]);
    });
});
