import { expect } from "chai";
import { targetStatementsFuzz } from "../targetstatements.js";

/** Runs a few scenarios in every test run; more are run by hand with other seeds. */
describe("target statements fuzz module", () => {
    it("finds no request that is sent against a statement that was read, and none refused for one that has ended", async () => {
        const result = await targetStatementsFuzz.run(3, 200);
        expect(result.error ?? "").to.equal("");
        expect(result.passed).to.equal(true);
    });
});
