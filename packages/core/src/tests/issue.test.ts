import { expect } from "chai";
import { formatIssues, issue, type Place } from "../issue.js";

describe("formatIssues", () => {
    const cases: { fault: string; place?: Place; path: string[]; text: string; }[] = [
        {
            fault: "the column is missing from the text",
            place: { file: "t.csv", row: 3, column: "weight" },
            path: [],
            text: "t.csv: row 3: column weight: bad (x)",
        },
        { fault: "an issue without a place is printed with an empty one", path: ["a", "b"], text: "a.b: bad (x)" },
    ];

    cases.forEach(({ fault, place, path, text }) => {
        it(`guards against: ${fault}`, () => {
            expect(formatIssues([issue("x", path, "bad", place)])).to.equal(text);
        });
    });
});
