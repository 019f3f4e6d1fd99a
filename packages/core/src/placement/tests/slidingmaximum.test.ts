/** A loss of groups is told from a fleet that always was this small. */
import { expect } from "chai";
import { createSlidingMaximum } from "../slidingmaximum.js";

describe("recent maximum", () => {
    it("remembers the largest value for a time, by key", () => {
        const recent = createSlidingMaximum(10_000);
        const noted: readonly [string, number, number, number][] = [
            ["large", 6, 0, 6],
            ["small", 3, 0, 3],
            ["large", 4, 1_000, 6],
            ["large", 5, 2_000, 6],
            ["large", 5, 10_500, 5],
            ["large", 7, 11_000, 7],
        ];
        noted.forEach(([key, value, now, expected]) => expect(recent.add(key, value, now)).to.equal(expected));
    });
});
