import { expect } from "chai";
import { requestsFuzz } from "../requests.js";

describe("fuzz of the request path", () => {
    it("holds its invariants in a few scenarios, so that a broken fuzz is noticed in every test run", async () => {
        const result = await requestsFuzz.run(11, 20);
        expect(result.error ?? "").to.equal("");
        expect(result.passed).to.equal(true);
    });
});
