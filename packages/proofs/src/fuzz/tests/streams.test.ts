import { expect } from "chai";
import { claimsFuzz } from "../claims.js";
import { configurationFuzz } from "../configuration.js";

describe("fuzz of the streams", () => {
    [configurationFuzz, claimsFuzz].forEach(fuzz => {
        it(`finds no failed invariant of ${fuzz.name} in a few runs`, async () => {
            const result = await fuzz.run(7, 15);
            expect(result.passed, `${result.error}\n${result.counterexample}`).to.equal(true);
        });
    });
});
