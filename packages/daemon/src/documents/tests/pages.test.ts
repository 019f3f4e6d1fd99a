import { expect } from "chai";
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { events } from "../../events.js";
import { renderPages } from "../pages.js";

const ROOT = join(__dirname, "../../../../..");

describe("generated pages", () => {
    renderPages().forEach(({ path, text }) => {
        it(`${path} agrees with the code (run npm run docs)`, () => {
            expect(readFileSync(join(ROOT, path), "utf8")).to.equal(text);
        });
    });

    it("numbers each event once, which log filters rely on", () => {
        const numbers = Object.values(events).map(({ number }) => number);
        expect(new Set(numbers).size).to.equal(numbers.length);
    });

    it("ends the text of every event with a period", () => {
        expect(Object.values(events).filter(({ text }) => !text.endsWith("."))).to.deep.equal([]);
    });
});
