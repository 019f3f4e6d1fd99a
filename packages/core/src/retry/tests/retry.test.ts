import { expect } from "chai";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { type AttemptState, decideAttempt } from "../attempt.js";
import { createRetryBudget } from "../budget.js";

const failed: AttemptState = {
    attempts: 1,
    failure: "broken",
    repeatable: true,
    delivered: false,
    now: 0,
    deadlineAt: 10_000,
};

describe("decideAttempt", () => {
    const cases: { guards: string; state: Partial<AttemptState>; expected: string; }[] = [
        { guards: "repeatable work is given up", state: {}, expected: "retry" },
        { guards: "a fee is paid twice", state: { repeatable: false }, expected: "not-repeatable" },
        { guards: "a fee is lost by a refusal", state: { repeatable: false, failure: "refused" }, expected: "retry" },
        { guards: "a fee is lost unsent", state: { repeatable: false, failure: "not-sent" }, expected: "retry" },
        { guards: "a stream starts anew in the middle", state: { delivered: true }, expected: "delivered" },
        { guards: "work goes on without a caller", state: { failure: "cancelled" }, expected: "cancelled" },
        { guards: "an attempt starts that cannot finish", state: { now: 9_960 }, expected: "deadline" },
        { guards: "attempts go on for ever", state: { attempts: 4 }, expected: "attempts" },
    ];
    cases.forEach(({ guards, state, expected }) => {
        it(`does not fail like this: ${guards}`, () => {
            const options = { budget: createRetryBudget(), random: xoroshiro128plus(1) };
            const decision = decideAttempt({ ...failed, ...state }, options);
            expect(decision.kind === "retry" ? "retry" : decision.reason).to.equal(expected);
        });
    });
});

describe("retry budget", () => {
    it("bounds further attempts of a window in which everything fails", () => {
        const budget = createRetryBudget({ ratio: 0.1, minimumPerSecond: 0.5, windowMilliseconds: 10_000 });
        const taken = Array.from(Array(1_000).keys(), index => {
            budget.recordFirstAttempt(index * 10);
            return budget.tryWithdraw(index * 10);
        }).filter(Boolean);
        expect(taken.length).to.be.within(95, 105);
        expect(budget.balance(30_000), "an old window counts").to.equal(5);
    });
});
