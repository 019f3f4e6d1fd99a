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
    const cases: { fault: string; state: Partial<AttemptState>; expected: string; }[] = [
        { fault: "a repeatable request is not retried", state: {}, expected: "retry" },
        {
            fault: "a request that is not repeatable runs twice",
            state: { repeatable: false },
            expected: "not-repeatable",
        },
        {
            fault: "a request that the target refused is not retried",
            state: { repeatable: false, failure: "refused" },
            expected: "retry",
        },
        {
            fault: "a request that was never sent is not retried",
            state: { repeatable: false, failure: "not-sent" },
            expected: "retry",
        },
        {
            fault: "a stream restarts after part of it was delivered",
            state: { delivered: true },
            expected: "delivered",
        },
        { fault: "a cancelled request is retried", state: { failure: "cancelled" }, expected: "cancelled" },
        { fault: "an attempt starts too late to finish", state: { now: 9_960 }, expected: "deadline" },
        { fault: "the number of attempts is unbounded", state: { attempts: 4 }, expected: "attempts" },
    ];
    cases.forEach(({ fault, state, expected }) => {
        it(`guards against: ${fault}`, () => {
            const options = { budget: createRetryBudget(), random: xoroshiro128plus(1) };
            const decision = decideAttempt({ ...failed, ...state }, options);
            expect(decision.kind === "retry" ? "retry" : decision.reason).to.equal(expected);
        });
    });
});

describe("retry budget", () => {
    it("bounds the retries in a window in which every attempt fails", () => {
        const budget = createRetryBudget({ ratio: 0.1, minimumPerSecond: 0.5, windowMilliseconds: 10_000 });
        const taken = Array.from(Array(1_000).keys(), index => {
            budget.recordFirstAttempt(index * 10);
            return budget.tryWithdraw(index * 10);
        }).filter(Boolean);
        expect(taken.length).to.be.within(95, 105);
        expect(budget.balance(30_000), "attempts before the window still count").to.equal(5);
    });
});
