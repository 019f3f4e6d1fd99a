/** Which plain target gets a request. */
import { expect } from "chai";
import { choosePlainTarget, type PlainTargetCandidate } from "../plaintarget.js";

const candidate = (id: string, fields: Partial<PlainTargetCandidate> = {}): PlainTargetCandidate => ({
    id,
    dataCentre: "a",
    inProgress: 0,
    waitMilliseconds: 0,
    slowness: 1,
    ...fields,
});

const cases: readonly {
    readonly name: string;
    readonly candidates: readonly PlainTargetCandidate[];
    readonly chosen: string | undefined;
}[] = [
    { name: "none if there is none", candidates: [], chosen: undefined },
    {
        name: "none if all want no request now",
        candidates: [candidate("x", { waitMilliseconds: 5 })],
        chosen: undefined,
    },
    {
        name: "the one with fewer requests",
        candidates: [candidate("x", { inProgress: 2 }), candidate("y")],
        chosen: "y",
    },
    {
        name: "one of the own data centre before an equal one",
        candidates: [candidate("x", { dataCentre: "b" }), candidate("y", { inProgress: 1 })],
        chosen: "y",
    },
    {
        name: "one of another data centre before a much busier one",
        candidates: [candidate("x", { dataCentre: "b" }), candidate("y", { inProgress: 3 })],
        chosen: "x",
    },
    {
        name: "one of another data centre before a slow one",
        candidates: [candidate("x", { slowness: 3 }), candidate("y", { dataCentre: "b" })],
        chosen: "y",
    },
    {
        name: "a slow one while the others are much busier",
        candidates: [candidate("x", { slowness: 2 }), candidate("y", { inProgress: 6 })],
        chosen: "x",
    },
    {
        name: "a busier one while the other rests",
        candidates: [candidate("x", { waitMilliseconds: 9 }), candidate("y", { inProgress: 7 })],
        chosen: "y",
    },
];

describe("choice of a plain target", () => {
    cases.forEach(({ name, candidates, chosen }) =>
        it(`is ${name}`, () => {
            expect(choosePlainTarget(candidates, "a", () => 0.5)).to.equal(chosen);
        })
    );

    it("spreads requests over equal targets", () => {
        const draws = [0.9, 0.1, 0.1, 0.9];
        const candidates = [candidate("x"), candidate("y")];
        const chosen = [1, 2].map(() => choosePlainTarget(candidates, "a", () => draws.shift() ?? 0));
        expect(chosen).to.deep.equal(["y", "x"]);
    });
});
