/** All daemons together stay within the retries that the platform allows, whatever their number. */
import { expect } from "chai";
import { createServiceRetryBudgets } from "../budgets.js";

describe("retry budgets", () => {
    const fleets: readonly number[] = [1, 8, 63, 410];
    fleets.forEach(daemons =>
        it(`of ${daemons} daemons together do not exceed the additional retries of the platform`, () => {
            const allowance = { ratio: 0.2, slack: 300, windowMilliseconds: 10_000 };
            const budget = createServiceRetryBudgets(allowance, () => daemons).of("pool");
            const retries = Array.from({ length: 400 }, () =>
                budget.tryWithdraw(1_000)).filter(granted => granted).length;
            expect(retries * daemons).to.be.at.most(allowance.slack);
        })
    );
});
