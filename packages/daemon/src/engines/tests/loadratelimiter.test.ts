/** Loads from the weight store stay within the rate after an initial burst. */
import { expect } from "chai";
import { createLoadRateLimiter } from "../loadratelimiter.js";

describe("load rate limiter", () => {
    it("allows a small burst and then the rate", () => {
        const limiter = createLoadRateLimiter();
        const taken = Array.from({ length: 50 }, (...[, index]) => index * 100).filter(now => {
            const allowed = limiter.available(2, now) >= 1;
            if (allowed) {
                limiter.take();
            }
            return allowed;
        });
        expect(taken.length).to.be.within(11, 13);
    });
});
