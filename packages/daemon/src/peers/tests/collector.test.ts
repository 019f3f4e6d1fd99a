/** A collector counts the newest report of each daemon, also when an older one arrives after it. */
import { expect } from "chai";
import { createCollector } from "../collector.js";

const cases: readonly {
    readonly name: string;
    /** Start of the process and sequence number of each report. */
    readonly reports: readonly (readonly [startedAt: number, sequence: number])[];
    readonly taken: readonly boolean[];
}[] = [
    { name: "reports in order", reports: [[1, 1], [1, 2]], taken: [true, true] },
    { name: "no report that a later one has overtaken", reports: [[1, 2], [1, 1]], taken: [true, false] },
    { name: "no report twice", reports: [[1, 1], [1, 1]], taken: [true, false] },
    { name: "the first report of a later process", reports: [[1, 9], [2, 1]], taken: [true, true] },
    { name: "no report of an earlier process", reports: [[2, 1], [1, 9]], taken: [true, false] },
];

describe("collector", () => {
    cases.forEach(({ name, reports, taken }) =>
        it(`takes ${name}`, () => {
            const collector = createCollector();
            const results = reports.map(([startedAt, sequence]) =>
                collector.receiveReport({ daemon: "d", startedAt, sequence, loads: [] }, true, 0)
            );
            expect(results).to.deep.equal(taken);
        })
    );
});
