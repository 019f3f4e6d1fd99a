/** Guards against requests that a daemon saves up for a cold target, and against a burst when the target turns warm. */
import { expect } from "chai";
import { createColdPacer, SLOW_START_MILLISECONDS } from "../coldpacer.js";

const COLD_UNTIL = 3_000;
const holder = { requestsPerSecond: 2, initialLevel: 0, joinsAt: 1 };
const other = { requestsPerSecond: 0, initialLevel: 0, joinsAt: 0.25 };

describe("cold pacer", () => {
    it("saves up one request at most while the daemon is idle or paused", () => {
        const pacer = createColdPacer(holder, COLD_UNTIL, 0);
        expect(pacer.waitMilliseconds(2_000)).to.equal(0);
        pacer.recordSent(2_000);
        expect(pacer.waitMilliseconds(2_000)).to.equal(500);
    });

    it("keeps a daemon without a share away until its turn in the slow start", () => {
        const pacer = createColdPacer(other, COLD_UNTIL, 0);
        expect(pacer.waitMilliseconds(COLD_UNTIL - 1)).to.equal(Number.POSITIVE_INFINITY);
        expect(pacer.waitMilliseconds(COLD_UNTIL)).to.equal(250);
        expect(pacer.waitMilliseconds(COLD_UNTIL + 250)).to.equal(0);
    });

    it("lets the rate of a holder rise until the limit ends", () => {
        const pacer = createColdPacer(holder, COLD_UNTIL, 0);
        const waits = [0, 500, 900].map(after => {
            pacer.recordSent(COLD_UNTIL + after);
            return pacer.waitMilliseconds(COLD_UNTIL + after);
        });
        expect(waits[0]).to.be.above(waits[1] ?? 0);
        expect(waits[1]).to.be.above(waits[2] ?? 0);
        expect(pacer.waitMilliseconds(COLD_UNTIL + SLOW_START_MILLISECONDS)).to.equal(0);
    });

    it("gives no request for losing and getting back a share", () => {
        const pacer = createColdPacer(holder, COLD_UNTIL, 0);
        [...Array(20).keys()].forEach(round => pacer.configure(round % 2 === 0 ? other : holder));
        expect(pacer.waitMilliseconds(0)).to.equal(500);
    });

    it("limits again when the target turns cold again", () => {
        const pacer = createColdPacer(other, COLD_UNTIL, 0);
        pacer.setColdUntil(9_000);
        expect(pacer.waitMilliseconds(8_000)).to.equal(Number.POSITIVE_INFINITY);
    });
});
