import { expect } from "chai";
import { parseChange } from "../rowchange.js";

describe("parseChange", () => {
    const cases: { change: string; cell: [string, unknown]; }[] = [
        { change: "weight=2.5", cell: ["weight", 2.5] },
        { change: "version=1", cell: ["version", "1"] },
        { change: "models=a, b c", cell: ["models", ["a", "b", "c"]] },
        { change: "requestsPerSecond=", cell: ["requestsPerSecond", undefined] },
        { change: "team=0042", cell: ["team", "0042"] },
        { change: "target=7", cell: ["target", "7"] },
        { change: "model=1.0", cell: ["model", "1.0"] },
        { change: "service=12", cell: ["service", "12"] },
        { change: "dataCentre=3", cell: ["dataCentre", "3"] },
        { change: "weight=much", cell: ["weight", "much"] },
        { change: "path=/a=b", cell: ["path", "/a=b"] },
    ];

    cases.forEach(({ change, cell }) => {
        it(`parses ${change}`, () => {
            expect(parseChange(change)).to.deep.equal(cell);
        });
    });
});
