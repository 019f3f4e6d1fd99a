import { expect } from "chai";
import { erasFuzz } from "../eras.js";

/** Runs a few scenarios in every test run; more are run by hand with other seeds. */
describe("eras fuzz module", function() {
    this.timeout(60_000);

    it("finds no second owner, no domain without planning and nothing that goes back over the eras of the store", async () => {
        const result = await erasFuzz.run(5, 25);
        expect(`${result.error ?? ""}\n${result.counterexample ?? ""}`).to.equal("\n");
        expect(result.passed).to.equal(true);
    });
});
