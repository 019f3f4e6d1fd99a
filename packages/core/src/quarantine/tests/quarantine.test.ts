/** A part is quarantined after crashes that nothing else accounts for, and for no longer than the evidence holds. */
import { expect } from "chai";
import { createPartQuarantine } from "../quarantine.js";
import type { PartQuarantine } from "../types.js";

const always = (): boolean => true;
const never = (): boolean => false;
const crash = (quarantine: PartQuarantine, process: number, parts: readonly string[], now: number): unknown =>
    quarantine.recordCrash({ target: `t${process}`, startedAt: 1_000 + process, parts }, now);
const verdict = (quarantine: PartQuarantine, part: string, now: number): string =>
    quarantine.check([part], never, now).kind;

const cases: readonly {
    readonly guards: string;
    readonly given: (quarantine: PartQuarantine) => unknown;
    readonly now?: number;
    readonly refused: readonly string[];
}[] = [
    {
        guards: "blaming a part for one crash",
        given: quarantine => crash(quarantine, 1, ["a"], 0),
        refused: [],
    },
    {
        guards: "serving a part that was there at two crashes",
        given: quarantine => [crash(quarantine, 1, ["a"], 0), crash(quarantine, 2, ["a"], 1_000)],
        refused: ["a"],
    },
    {
        guards: "counting a crash twice because two daemons saw it",
        given: quarantine => [crash(quarantine, 1, ["a"], 0), crash(quarantine, 1, ["a"], 1_000)],
        refused: [],
    },
    {
        guards: "counting crashes of many targets at once as many",
        given: quarantine => [1, 2, 3, 4].map(process => crash(quarantine, process, ["a"], process)),
        refused: [],
    },
    {
        guards: "counting crashes before a proof",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 0),
            quarantine.recordProven(["a"], 2_000),
            crash(quarantine, 2, ["a"], 3_000),
        ],
        refused: [],
    },
    {
        guards: "clearing a crash by a stream that began before it",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 1_000),
            quarantine.recordProven(["a"], 1_400, 900),
            crash(quarantine, 2, ["a"], 2_000),
            crash(quarantine, 3, ["a"], 3_000),
        ],
        refused: ["a"],
    },
    {
        guards: "blaming a part that is used often before its next proof can come",
        given: quarantine => [
            quarantine.recordProven(["a"], 0),
            crash(quarantine, 1, ["a"], 1_000),
            crash(quarantine, 2, ["a"], 1_200),
        ],
        now: 2_000,
        refused: [],
    },
    {
        guards: "never blaming a part that was sound before",
        given: quarantine => [
            quarantine.recordProven(["a"], 0),
            crash(quarantine, 1, ["a"], 1_000),
            crash(quarantine, 2, ["a"], 1_200),
            crash(quarantine, 3, ["a"], 3_100),
        ],
        now: 4_000,
        refused: ["a"],
    },
    {
        guards: "blaming a sound part that goes with a harmful one",
        given: quarantine => [
            quarantine.recordProven(["first"], 0),
            crash(quarantine, 1, ["first", "a", "b"], 1_000),
            crash(quarantine, 2, ["first", "a", "c"], 2_000),
            crash(quarantine, 3, ["first", "a", "b"], 3_000),
        ],
        now: 9_000,
        refused: ["a"],
    },
    {
        guards: "blaming a request that was retried at the target of a harmful one",
        given: quarantine => [
            crash(quarantine, 1, ["a", "b"], 1_000),
            crash(quarantine, 2, ["a", "b"], 2_000),
            crash(quarantine, 3, ["a"], 3_000),
        ],
        now: 9_000,
        refused: ["a"],
    },
    {
        guards: "blaming after two crashes while many targets crash by another cause",
        given: quarantine => [
            ...[1, 2, 3, 4, 5].map(process => crash(quarantine, process, ["b"], process)),
            crash(quarantine, 6, ["a"], 1_000),
            crash(quarantine, 7, ["a"], 2_000),
        ],
        refused: [],
    },
    {
        guards: "counting a process that has answered again",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 0),
            quarantine.withdrawCrash("t1", 1_001, 500),
            crash(quarantine, 2, ["a"], 1_000),
        ],
        refused: [],
    },
    {
        guards: "keeping a quarantine whose crash turned out to be none",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 0),
            crash(quarantine, 2, ["a"], 1_000),
            quarantine.withdrawCrash("t1", 1_001, 1_500),
        ],
        refused: [],
    },
    {
        guards: "keeping a quarantine against an operator",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 0),
            crash(quarantine, 2, ["a"], 1_000),
            quarantine.release("a", 2_000),
            crash(quarantine, 3, ["a"], 3_000),
        ],
        refused: [],
    },
    {
        guards: "keeping a quarantine against a stream that began after the last crash",
        given: quarantine => [
            crash(quarantine, 1, ["a"], 0),
            crash(quarantine, 2, ["a"], 1_000),
            quarantine.recordProven(["a"], 2_000),
        ],
        refused: [],
    },
];

describe("part quarantine", () => {
    cases.forEach(({ guards, given, now = 10_000, refused }) => {
        it(`guards against ${guards}`, () => {
            const quarantine = createPartQuarantine();
            given(quarantine);
            const actual = ["first", "a", "b", "c"].filter(part => verdict(quarantine, part, now) === "refused");
            expect(actual).to.deep.equal(refused);
        });
    });

    it("tells the parts that it quarantines, with the counts", () => {
        const quarantine = createPartQuarantine();
        crash(quarantine, 1, ["a"], 0);
        expect(crash(quarantine, 2, ["a"], 1_000)).to.deep.equal([{
            part: "a",
            revision: 1,
            state: "quarantined",
            statedAt: 1_000,
            crashes: 2,
            cause: "crashes",
            trials: 0,
            wasProven: false,
            isAmbiguous: false,
        }]);
        expect(quarantine.quarantined().map(({ part }) => part)).to.deep.equal(["a"]);
    });

    it("tries a part again after a pause, through the daemon that may", () => {
        const quarantine = createPartQuarantine();
        crash(quarantine, 1, ["a"], 0);
        crash(quarantine, 2, ["a"], 1_000);
        expect(quarantine.check(["a"], always, 20_000).kind).to.equal("refused");
        expect(quarantine.check(["a"], never, 40_000).kind).to.equal("refused");
        expect(quarantine.check(["b", "a"], always, 40_000)).to.deep.equal({ kind: "trial", part: "a" });
        expect(quarantine.check(["a"], always, 41_000).kind).to.equal("refused");
    });
});
