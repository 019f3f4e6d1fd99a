import { expect } from "chai";
import { requestsFuzz } from "../requests.js";

/** Runs a few scenarios in every test run, so that a fault in the fuzz module itself is found early. */
describe("request path fuzz module", () => {
    it("finds no violated invariant in a few scenarios", async () => {
        const result = await requestsFuzz.run(11, 20);
        expect(result.error ?? "").to.equal("");
        expect(result.passed).to.equal(true);
    });
});
