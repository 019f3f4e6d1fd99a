import { expect } from "chai";
import { quarantineFuzz } from "../quarantine.js";

/** Runs a few scenarios in every test run; more are run by hand with other seeds. */
describe("quarantine fuzz module", () => {
    it("finds no harmful part that goes on reaching targets, and no sound one that is refused for long", async () => {
        const result = await quarantineFuzz.run(5, 15);
        expect(result.error ?? "").to.equal("");
        expect(result.passed).to.equal(true);
    }).timeout(60_000);
});
