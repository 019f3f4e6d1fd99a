/** The mix of groups serves all models, by demand, and leaves few hosts idle. */
import { expect } from "chai";
import type { ModelProfile } from "../../routes/types.js";
import { chooseMix } from "../mix.js";

const profile = (name: string, size: number): ModelProfile => ({
    name,
    size,
    share: 0.5,
    pace: 1,
    loadMilliseconds: 1,
    warmMilliseconds: 1,
});
const demands = (large: number, small: number, groups: readonly [number, number] = [0, 0]) => [
    { profile: profile("large", 6), demand: large, groups: groups[0] },
    { profile: profile("small", 3), demand: small, groups: groups[1] },
];

const cases = [
    { guards: "a model is left without a group", demand: demands(0.67, 0.33), hosts: 11, mix: [1, 1] },
    {
        guards: "a small group takes the hosts of a large one",
        demand: demands(0.67, 0.33, [5, 6]),
        hosts: 7,
        mix: [1, 0],
    },
    { guards: "hosts stay idle that could form a group", demand: demands(0.67, 0.33, [5, 6]), hosts: 5, mix: [0, 1] },
    { guards: "groups are formed of too few hosts", demand: demands(0.67, 0.33), hosts: 2, mix: [0, 0] },
    { guards: "a model with little demand gets most groups", demand: demands(0.1, 0.9, [2, 1]), hosts: 6, mix: [0, 2] },
];

describe("chooseMix", () => {
    cases.forEach(({ guards, demand, hosts, mix }) => {
        it(`guards against: ${guards}`, () => {
            const chosen = chooseMix(demand, hosts);
            expect([chosen.get("large"), chosen.get("small")]).to.deep.equal(mix);
        });
    });
});
