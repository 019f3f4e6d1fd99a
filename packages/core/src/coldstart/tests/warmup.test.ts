/** Guards against a cold process that is taken for a warm one, and against times that begin anew without reason. */
import { expect } from "chai";
import { createWarmUp, type ProcessObservation } from "../warmup.js";

const COLD_MILLISECONDS = 3_000;

interface Step extends Omit<ProcessObservation, "target" | "entryNumber"> {
    readonly at: number;
    readonly entryNumber?: number;
}

const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly coldUntil: number; }[] = [
    {
        name: "a process of which nothing is stated, from when it is first seen",
        steps: [{ at: 100 }],
        coldUntil: 3_100,
    },
    { name: "nothing if the entry states that it is warm", steps: [{ at: 100, coldMilliseconds: 0 }], coldUntil: 100 },
    {
        name: "the time that the entry states, from when it is first seen",
        steps: [{ at: 100, coldMilliseconds: 700 }],
        coldUntil: 800,
    },
    {
        name: "a known process no longer because it is seen again",
        steps: [{ at: 100 }, { at: 900, entryNumber: 2 }],
        coldUntil: 3_100,
    },
    {
        name: "the stated time once, although a membership changes",
        steps: [{ at: 100, coldMilliseconds: 700 }, { at: 500, coldMilliseconds: 700 }],
        coldUntil: 800,
    },
    {
        name: "the time that a later entry states",
        steps: [{ at: 100, coldMilliseconds: 0 }, { at: 5_000, entryNumber: 2, coldMilliseconds: 2_000 }],
        coldUntil: 7_000,
    },
    {
        name: "nothing more once a later entry states that it is warm",
        steps: [{ at: 100 }, { at: 500, entryNumber: 2, coldMilliseconds: 0 }],
        coldUntil: 500,
    },
    {
        name: "the next process under the same id",
        steps: [{ at: 100, startedAt: 1, coldMilliseconds: 0 }, { at: 5_000, startedAt: 2 }],
        coldUntil: 8_000,
    },
    {
        name: "a target whose evacuation ended, although its entry states that it is warm",
        steps: [{ at: 100, coldMilliseconds: 0 }, { at: 5_000, coldMilliseconds: 0, evacuationEndedAt: 5_000 }],
        coldUntil: 8_000,
    },
    {
        name: "nothing because of an evacuation that ended long ago",
        steps: [{ at: 9_000, coldMilliseconds: 0, evacuationEndedAt: 5_000 }],
        coldUntil: 9_000,
    },
];

describe("warm-up", () => {
    cases.forEach(({ name, steps, coldUntil }) => {
        it(`counts as cold ${name}`, () => {
            const warmUp = createWarmUp();
            steps.forEach(({ at, entryNumber = 1, ...stated }) =>
                warmUp.observe({ target: "t", entryNumber, ...stated }, COLD_MILLISECONDS, at)
            );
            expect(warmUp.coldUntil("t")).to.equal(coldUntil);
        });
    });

    it("reports a change once, with its reason", () => {
        const warmUp = createWarmUp();
        const observation = { target: "t", startedAt: 7, entryNumber: 1 };
        expect(warmUp.observe(observation, COLD_MILLISECONDS, 0)).to.deep.equal({
            target: "t",
            startedAt: 7,
            reason: "new-process",
            coldUntil: 3_000,
            wasCold: false,
        });
        expect(warmUp.observe(observation, COLD_MILLISECONDS, 10)).to.equal(undefined);
    });

    it("knows a process that returns after its entry lapsed", () => {
        const warmUp = createWarmUp();
        const observe = (at: number) =>
            warmUp.observe({ target: "t", startedAt: 7, entryNumber: 1 }, COLD_MILLISECONDS, at)?.coldUntil;
        observe(0);
        [10_000, 30_000].forEach(at => warmUp.prune(() => false, at));
        expect(observe(30_000)).to.equal(undefined);
        [40_000, 100_001].forEach(at => warmUp.prune(() => false, at));
        expect(observe(100_002)).to.equal(103_002);
    });
});
