/** Which daemons may try a quarantined part again, and when. */
import { expect } from "chai";
import { createPartQuarantine } from "../quarantine.js";
import { trialDaemons, trialRank } from "../trials.js";
import type { PartQuarantine, PartStatement } from "../types.js";

const PAUSE = 30_000;
const statement = (fields: Partial<PartStatement>): PartStatement => ({
    part: "a",
    revision: 1,
    state: "quarantined",
    statedAt: 0,
    crashes: 2,
    cause: "crashes",
    trials: 0,
    wasProven: false,
    isAmbiguous: false,
    ...fields,
});
const late = { crashes: 6, wasProven: true };

const cases: readonly {
    readonly guards: string;
    readonly given?: Partial<PartStatement>;
    readonly now: number;
    readonly daemons: number;
}[] = [
    { guards: "a trial before the pause is over", now: PAUSE - 1, daemons: 0 },
    { guards: "trials by several daemons at once", now: PAUSE, daemons: 1 },
    { guards: "a mended part that waits for the first daemon", now: PAUSE + 500, daemons: 2 },
    { guards: "a mended part that waits for the first daemons", now: PAUSE + 1_000, daemons: 3 },
    { guards: "trials by a whole fleet at once", now: PAUSE + 5_000, daemons: 3 },
    { guards: "trials beside one that was told", given: { trials: 1, trialAt: PAUSE }, now: PAUSE + 5_000, daemons: 0 },
    { guards: "a trial without a result that is the last", given: { trials: 1, trialAt: 0 }, now: 10_000, daemons: 1 },
    { guards: "many trials after the fifth crash", given: late, now: 3_600_000, daemons: 2 },
    {
        guards: "a sound part whose trial failed by another part and that nobody tries again",
        given: { ...late, cause: "trial-failed", trials: 1 },
        now: 3_600_000,
        daemons: 1,
    },
    {
        guards: "a third trial after the fifth crash",
        given: { ...late, cause: "trial-failed", trials: 2 },
        now: 3_600_000,
        daemons: 0,
    },
    { guards: "a trial after a failed one and four crashes", given: { crashes: 4 }, now: 3_600_000, daemons: 0 },
];

describe("trials of a quarantined part", () => {
    cases.forEach(({ guards, given = {}, now, daemons }) =>
        it(`guards against ${guards}`, () => expect(trialDaemons(statement(given), now)).to.equal(daemons))
    );

    it("guards against two daemons of one rank, and a rank without a majority", () => {
        const names = ["d0", "d1", "d2", "d3"];
        const ranks = names.map(self =>
            trialRank("a", { self, reachable: names.filter(name => name !== self), known: 4 })
        );
        expect([...ranks].sort()).to.deep.equal([0, 1, 2, 3]);
        expect(trialRank("a", { self: "d0", reachable: ["d1"], known: 4 })).to.equal(Number.POSITIVE_INFINITY);
    });

    it("guards against a daemon that tries a part beside one that told of its trial", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        const quarantine = (target: PartQuarantine): unknown =>
            target.merge({ crashes: [], proven: [], statements: [statement({})] }, 0);
        [first, second].forEach(quarantine);
        const isSecond = (...[, daemons]: [part: string, daemons: number]): boolean => daemons >= 2;
        expect(second.check(["a"], isSecond, PAUSE + 499).kind).to.equal("refused");
        expect(first.check(["a"], () => true, PAUSE + 499).kind).to.equal("trial");
        second.merge(first.report(PAUSE + 499), PAUSE + 550);
        expect(second.check(["a"], isSecond, PAUSE + 5_000).kind).to.equal("refused");
    });
});
