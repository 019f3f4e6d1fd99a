/** Which daemon takes a request of one that reaches no target. */
import { expect } from "chai";
import { createHandOverDaemons } from "../handoverdaemons.js";

const others = [
    { daemon: "near-1", ip: "10.0.0.1", dataCentre: "a" },
    { daemon: "near-2", ip: "10.0.0.2", dataCentre: "a" },
    { daemon: "far-1", ip: "10.0.1.1", dataCentre: "b" },
    { daemon: "far-2", ip: "10.0.1.2", dataCentre: "b" },
];
const names = others.map(({ daemon }) => daemon);

const cases: readonly {
    readonly guards: string;
    readonly reachable?: readonly string[];
    readonly cutOff?: readonly string[];
    readonly silent?: readonly string[];
    readonly excluded?: readonly string[];
    readonly chosen: readonly string[];
}[] = [
    { guards: "another data centre although the own one suffices", chosen: ["near-1", "near-2"] },
    {
        guards: "all requests of a data centre at the one daemon that is left there",
        cutOff: ["near-2"],
        chosen: ["near-1", "far-1", "far-2"],
    },
    { guards: "a data centre that is cut off as a whole", cutOff: ["near-1", "near-2"], chosen: ["far-1", "far-2"] },
    { guards: "a daemon that is not heard", reachable: ["far-1"], chosen: ["far-1"] },
    { guards: "a daemon that was tried", excluded: ["near-1", "far-1"], chosen: ["near-2", "far-2"] },
    { guards: "a daemon of an earlier version, which takes none", silent: names, chosen: [] },
    { guards: "daemons that are all cut off", cutOff: names, chosen: [] },
];

describe("daemons that take requests", () => {
    cases.forEach(({ guards, reachable = names, cutOff = [], silent = [], excluded = [], chosen }) =>
        it(`guards against ${guards}`, () => {
            const draws = Array.from({ length: 12 }, (...[, index]) => index / 12);
            const seen = draws.map(draw => {
                const daemons = createHandOverDaemons({
                    dataCentre: "a",
                    others: () => others,
                    takesRequests: name => reachable.includes(name) && ![...silent, ...cutOff].includes(name),
                    random: () => draw,
                });
                return daemons.choose(excluded)?.daemon;
            });
            expect([...new Set(seen.flatMap(name => name ?? []))]).to.deep.equal(chosen);
        })
    );

    it("takes connections of announced daemons only", () => {
        const daemons = createHandOverDaemons({
            dataCentre: "a",
            others: () => others,
            takesRequests: () => false,
            random: () => 0,
        });
        expect(["10.0.0.1", "10.9.9.9"].map(daemons.isDaemonAddress)).to.deep.equal([true, false]);
    });
});
