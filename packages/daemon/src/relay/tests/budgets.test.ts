/** All daemons together keep within the repeats that the platform allows, however many they are. */
import { expect } from "chai";
import { createServiceBudgets } from "../budgets.js";

describe("budgets of repeats", () => {
    const fleets: readonly number[] = [1, 8, 63, 410];
    fleets.forEach(daemons =>
        it(`of ${daemons} daemons do not exceed the fixed number of repeats together`, () => {
            const allowance = { ratio: 0.2, slack: 300, windowMilliseconds: 10_000 };
            const budget = createServiceBudgets(allowance, () => daemons).of("pool");
            const repeats =
                Array.from({ length: 400 }, () => budget.tryWithdraw(1_000)).filter(granted => granted).length;
            expect(repeats * daemons).to.be.at.most(allowance.slack);
        })
    );
});
