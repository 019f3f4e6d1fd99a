/** How long a plain target takes is compared with the other targets of the same route only. */
import { expect } from "chai";
import { createRouteTimes } from "../routetimes.js";

type Observation = readonly [route: string, target: string, milliseconds: number, atMilliseconds: number];

const cases: readonly {
    readonly name: string;
    readonly observed: readonly Observation[];
    readonly last: Observation;
    readonly ratio: number | undefined;
}[] = [
    { name: "nothing while no other target is known", observed: [], last: ["r", "x", 90, 0], ratio: undefined },
    {
        name: "nothing by one observation of another target",
        observed: [["r", "y", 10, 0]],
        last: ["r", "x", 90, 0],
        ratio: undefined,
    },
    {
        name: "the time over that of the others",
        observed: [["r", "y", 10, 0], ["r", "z", 10, 0]],
        last: ["r", "x", 80, 0],
        ratio: 8,
    },
    {
        name: "1 for a route whose requests take long at all targets",
        observed: [["short", "y", 10, 0], ["short", "z", 10, 0], ["long", "y", 200, 0], ["long", "z", 200, 0]],
        last: ["long", "x", 200, 0],
        ratio: 1,
    },
    {
        name: "nothing once what is known of the others is old",
        observed: [["r", "y", 10, 0], ["r", "z", 10, 0], ["r", "y", 10, 0]],
        last: ["r", "x", 80, 20_000],
        ratio: undefined,
    },
    {
        name: "no infinite ratio for a time of 0",
        observed: [["r", "y", 0, 0], ["r", "z", 0, 0]],
        last: ["r", "x", 4, 0],
        ratio: 4,
    },
];

describe("times of a route", () => {
    cases.forEach(({ name, observed, last, ratio }) =>
        it(`give ${name}`, () => {
            const times = createRouteTimes();
            observed.forEach(observation => times.record(...observation));
            const result = times.record(...last);
            expect(result === undefined ? undefined : Math.round(result * 1_000) / 1_000).to.equal(ratio);
        })
    );

    it("give nothing by what a process took that another one has replaced", () => {
        const times = createRouteTimes();
        ["y", "z"].forEach(target => times.record("r", target, 10, 0));
        ["y", "z"].forEach(target => times.forget(target));
        expect(times.record("r", "x", 80, 0)).to.equal(undefined);
    });
});
