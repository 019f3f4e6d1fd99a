/** A target gets nothing until the end of the longest rest that its present process has stated, and requests after it. */
import { expect } from "chai";
import { createTargetRests, MAXIMUM_REST_MILLISECONDS, type TargetRests } from "../targetrests.js";

const STARTED_AT = 1_000;
const process = { target: "a", startedAt: STARTED_AT };
const NOW = 500;

const cases: readonly {
    readonly guards: string;
    readonly then: (rests: TargetRests) => unknown;
    readonly at?: number;
    readonly startedAt?: number;
    readonly wait: number;
}[] = [
    { guards: "sending before the end of a rest", then: () => undefined, at: NOW + 1_999, wait: 1 },
    { guards: "waiting after the end of a rest", then: () => undefined, at: NOW + 2_000, wait: 0 },
    {
        guards: "a shorter rest ending a longer one",
        then: rests => rests.observe(process, 100, NOW + 1),
        wait: 2_000,
    },
    {
        guards: "missing a rest that ends later",
        then: rests => rests.observe(process, 2_000, NOW + 300),
        wait: 2_300,
    },
    {
        guards: "a rest of hours keeping a target idle",
        then: rests => rests.observe(process, 9 * MAXIMUM_REST_MILLISECONDS, NOW),
        wait: MAXIMUM_REST_MILLISECONDS,
    },
    { guards: "holding a new process to the rest of an earlier one", then: () => undefined, startedAt: 1_001, wait: 0 },
    {
        guards: "keeping the longer rest of an earlier process",
        then: rests => rests.observe({ ...process, startedAt: 1_001 }, 100, NOW),
        startedAt: 1_001,
        wait: 100,
    },
    {
        guards: "a late response of an earlier process replacing the rest of the present one",
        then: rests => rests.observe({ ...process, startedAt: 999 }, 9_000, NOW),
        wait: 2_000,
    },
    {
        guards: "dropping a rest while it lasts",
        then: rests => rests.prune(() => true, NOW + 1_999),
        at: NOW + 1_999,
        wait: 1,
    },
    { guards: "keeping the rest of a target that is gone", then: rests => rests.prune(() => false, NOW), wait: 0 },
];

describe("target rests", () => {
    cases.forEach(({ guards, then, at = NOW, startedAt = STARTED_AT, wait }) => {
        it(`guards against ${guards}`, () => {
            const rests = createTargetRests();
            rests.observe(process, 2_000, NOW);
            then(rests);
            expect(rests.waitMilliseconds({ target: "a", startedAt }, at)).to.equal(wait);
        });
    });

    it("reports only rests that end later than the known one", () => {
        const rests = createTargetRests();
        const changes = [
            rests.observe(process, 2_000, NOW),
            rests.observe(process, 1_500, NOW),
            rests.observe(process, 0, NOW),
            rests.observe(process, 2_000, NOW + 1),
        ];
        expect(changes.map(change => change?.endsAt)).to.deep.equal([2_500, undefined, undefined, 2_501]);
    });

    it("counts the targets that rest now", () => {
        const rests = createTargetRests();
        rests.observe(process, 2_000, NOW);
        rests.observe({ target: "b" }, 1_000, NOW);
        expect([NOW, NOW + 1_000, NOW + 2_000].map(at => rests.resting(at).length)).to.deep.equal([2, 1, 0]);
    });
});
