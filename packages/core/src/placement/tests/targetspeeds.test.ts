/** Slow targets are recognized by few observations of several daemons, and no daemon that is slow itself blames targets. */
import { expect } from "chai";
import { createSpeedObservations, findSlowTargets, mergeSpeeds, type SpeedSum } from "../targetspeeds.js";

type Observed = readonly (readonly [target: string, ratio: number])[];

const sumsOf = (observed: Observed, now = 0): readonly SpeedSum[] => {
    const observations = createSpeedObservations();
    observed.forEach(([target, ratio]) => observations.record(target, ratio, 0));
    return observations.sums(now);
};
const slowBy = (...daemons: readonly Observed[]): string[] =>
    findSlowTargets(mergeSpeeds(daemons.map(observed => sumsOf(observed)))).map(({ target }) => target).sort();

const cases: readonly { readonly guards: string; readonly daemons: readonly Observed[]; readonly slow: string[]; }[] = [
    {
        guards: "overlooking a target that each daemon saw once",
        daemons: [[["x", 4]], [["x", 4], ["y", 1]], [["x", 4]]],
        slow: ["x"],
    },
    {
        guards: "taking one odd observation among sound ones for a slow target",
        daemons: [[["x", 9], ["x", 1], ["x", 1]]],
        slow: [],
    },
    {
        guards: "taking estimates that are a little low for slow targets",
        daemons: [[["x", 1.4], ["y", 1.5]]],
        slow: [],
    },
    {
        guards: "blaming targets for a daemon that is slow itself",
        daemons: [[["a", 6], ["b", 6], ["c", 6], ["d", 6], ["e", 6]]],
        slow: [],
    },
    {
        guards: "overlooking a slow target that a slow daemon sees",
        daemons: [[["a", 3], ["b", 3], ["c", 3], ["d", 3], ["x", 24]], [["x", 5]]],
        slow: ["x"],
    },
    {
        guards: "leaving all targets out when all are slow",
        daemons: [1, 2, 3].map((): Observed => [["a", 5], ["b", 5], ["c", 5], ["d", 5]]),
        slow: [],
    },
    {
        guards: "counting ratios that are no positive numbers",
        daemons: [[["x", Number.NaN], ["x", -3], ["x", 0], ["x", Number.POSITIVE_INFINITY], ["x", 1], ["x", 1], [
            "x",
            1,
        ]]],
        slow: [],
    },
];

describe("speeds of targets", () => {
    cases.forEach(({ guards, daemons, slow }) =>
        it(`guards against ${guards}`, () => expect(slowBy(...daemons)).to.deep.equal(slow))
    );

    it("fade, so that a target gets its share back some seconds after the last slow stream", () => {
        const slowAfter = (milliseconds: number): number =>
            findSlowTargets(sumsOf([["x", 4], ["x", 4], ["x", 4]], milliseconds)).length;
        expect([0, 1_000, 4_000, 8_000].map(slowAfter)).to.deep.equal([1, 1, 0, 0]);
    });

    it("do not change their verdict often under a noisy, steady speed", () => {
        const observations = createSpeedObservations();
        const verdicts = Array.from({ length: 300 }, (...[, index]) => {
            observations.record("x", [1, 1.3, 0.9, 2.2, 1.1, 1.6][index % 6] ?? 1, index * 200);
            return findSlowTargets(observations.sums(index * 200)).length;
        });
        expect(verdicts.every(verdict => verdict === 0)).to.equal(true);
    });
});
