import { expect } from "chai";
import { createLog } from "../log.js";

const options = { retentionCount: 10, retentionMilliseconds: 1000, appendsPerSecond: 2 };

describe("log of the platform stand-in", () => {
    it("exposes a gap after retention by age and keeps the offsets, which the tests of lost entries depend on", () => {
        const log = createLog(options);
        [0, 500, 1400].forEach(time => log.append("table", time, time));

        expect(log.read("table", 0, 10, 1400)).to.deep.equal({
            firstOffset: 1,
            nextOffset: 3,
            entries: [{ offset: 1, time: 500, value: 500 }, { offset: 2, time: 1400, value: 1400 }],
        });
    });

    it("limits the append rate, so that a test with too many appends cannot pass on an unlimited log", () => {
        const log = createLog(options);
        expect([0, 0, 0, 500].map(now => log.admit(1000 + now))).to.deep.equal([0, 0, 500, 0]);
    });
});
