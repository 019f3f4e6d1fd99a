import { expect } from "chai";
import { readGolden, recordSession } from "../run.js";
import { scripts } from "../scripts.js";

describe("golden session", function() {
    this.timeout(60_000);
    Object.keys(scripts).forEach(name =>
        it(`${name}: matches the golden file`, async () => {
            expect(JSON.parse(await recordSession(name))).to.deep.equal(JSON.parse(await readGolden(name)));
        })
    );
});
