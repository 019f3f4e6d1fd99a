/** The sliding maximum distinguishes a recent loss of groups from a fleet that has always been this small. */
import { expect } from "chai";
import { createSlidingMaximum } from "../slidingmaximum.js";

describe("sliding maximum", () => {
    it("returns the maximum of each key within the window", () => {
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
