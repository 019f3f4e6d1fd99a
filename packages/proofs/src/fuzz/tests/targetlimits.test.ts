import { expect } from "chai";
import { targetLimitsFuzz } from "../targetlimits.js";

/** Runs a few scenarios in every test run; more are run by hand with other seeds. */
describe("target limits fuzz module", () => {
    it("finds no target that gets more than it states from daemons that are cut off, paused or started again", async () => {
        const result = await targetLimitsFuzz.run(5, 30);
        expect(result.error ?? "").to.equal("");
        expect(result.passed).to.equal(true);
    });
});
