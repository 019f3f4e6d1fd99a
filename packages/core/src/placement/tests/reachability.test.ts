/** When a daemon concludes that it is cut off from all targets, and when it does not. */
import { expect } from "chai";
import { createReachability, type Reachability } from "../reachability.js";

const cases: readonly {
    readonly guards: string;
    readonly known: number;
    readonly given: (reachability: Reachability) => void;
    readonly isCutOff: boolean;
}[] = [
    {
        guards: "a cut concluded from one target that fell silent",
        known: 9,
        given: reachability => ["a", "a", "a", "a"].forEach(target => reachability.recordMissed(target)),
        isCutOff: false,
    },
    {
        guards: "a cut that is not noticed",
        known: 9,
        given: reachability => ["a", "b", "c"].forEach(target => reachability.recordMissed(target)),
        isCutOff: true,
    },
    {
        guards: "a cut concluded although another target answers",
        known: 9,
        given: reachability => {
            ["a", "b"].forEach(target => reachability.recordMissed(target));
            reachability.recordReached(10);
            ["c", "d"].forEach(target => reachability.recordMissed(target));
        },
        isCutOff: false,
    },
    {
        guards: "a cut that lasts after a target has answered",
        known: 9,
        given: reachability => {
            ["a", "b", "c"].forEach(target => reachability.recordMissed(target));
            reachability.recordReached(10);
        },
        isCutOff: false,
    },
    {
        guards: "a cut from both targets of a small deployment that is not noticed",
        known: 2,
        given: reachability => ["a", "b"].forEach(target => reachability.recordMissed(target)),
        isCutOff: true,
    },
    {
        guards: "a cut concluded from the only target",
        known: 1,
        given: reachability => reachability.recordMissed("a"),
        isCutOff: false,
    },
];

describe("reachability of targets", () => {
    cases.forEach(({ guards, known, given, isCutOff }) =>
        it(`guards against ${guards}`, () => {
            const reachability = createReachability(() => known);
            given(reachability);
            expect(reachability.isCutOff()).to.equal(isCutOff);
        })
    );

    it("is doubtful only after a failure and a silence", () => {
        const reachability = createReachability(() => 9);
        expect(reachability.isDoubtful(250, 1_000)).to.equal(false);
        reachability.recordReached(1_000);
        reachability.recordMissed("a");
        expect([1_100, 1_250].map(now => reachability.isDoubtful(250, now))).to.deep.equal([false, true]);
    });
});
