import { expect } from "chai";
import { claimsFuzz } from "../claims.js";
import { configurationFuzz } from "../configuration.js";

describe("stream fuzz modules", () => {
    [configurationFuzz, claimsFuzz].forEach(fuzz => {
        it(`${fuzz.name}: finds no violated invariant in a few scenarios`, async () => {
            const result = await fuzz.run(7, 15);
            expect(result.passed, `${result.error}\n${result.counterexample}`).to.equal(true);
        });
    });
});
