import { expect } from "chai";
import { formatIssues, issue, type Place } from "../issue.js";

describe("formatIssues", () => {
    const cases: { guards: string; place?: Place; path: string[]; text: string; }[] = [
        {
            guards: "loses the column",
            place: { file: "t.csv", row: 3, column: "weight" },
            path: [],
            text: "t.csv: row 3: column weight: bad (x)",
        },
        { guards: "prints an empty place", path: ["a", "b"], text: "a.b: bad (x)" },
    ];

    cases.forEach(({ guards, place, path, text }) => {
        it(`does not fail like this: ${guards}`, () => {
            expect(formatIssues([issue("x", path, "bad", place)])).to.equal(text);
        });
    });
});
