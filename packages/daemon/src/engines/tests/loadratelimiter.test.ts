/** Loads from the weight store keep within the rate, and loads of the start leave no debt. */
import { expect } from "chai";
import { createLoadRateLimiter } from "../loadratelimiter.js";

describe("load allowance", () => {
    it("allows a small burst and then the rate", () => {
        const allowance = createLoadRateLimiter();
        const taken = Array.from({ length: 50 }, (...[, index]) => index * 100).filter(now => {
            const allowed = allowance.available(2, now) >= 1;
            if (allowed) {
                allowance.take();
            }
            return allowed;
        });
        expect(taken.length).to.be.within(11, 13);
    });
});
