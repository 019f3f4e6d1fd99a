/** A daemon sends a limited target no more than its share, however its share changes and however long it was idle. */
import { expect } from "chai";
import { createRequestPacer } from "../requestpacer.js";

const share = (requestsPerSecond: number, initialLevel = 0) => ({ requestsPerSecond, initialLevel });

describe("request pacer", () => {
    it("spaces requests by the share", () => {
        const pacer = createRequestPacer(share(2), 0);
        const sent = [...Array(2_001).keys()].filter(now => {
            const allowed = pacer.waitMilliseconds(now) === 0;
            if (allowed) {
                pacer.recordSent(now);
            }
            return allowed;
        });
        expect(sent).to.deep.equal([500, 1_000, 1_500, 2_000]);
    });

    it("lets the first request of a holder go when its turn comes", () => {
        expect(createRequestPacer(share(2, 0.75), 0).waitMilliseconds(0)).to.equal(125);
    });

    it("saves up one request at most while the daemon is idle or paused", () => {
        const pacer = createRequestPacer(share(2), 0);
        pacer.recordSent(60_000);
        expect(pacer.waitMilliseconds(60_000)).to.equal(500);
    });

    it("gives no request for losing and getting back a share", () => {
        const pacer = createRequestPacer(share(2, 0.5), 0);
        [...Array(20).keys()].forEach(round => pacer.configure(share(round % 2 === 0 ? 0 : 2, 0.5), 0));
        expect(pacer.waitMilliseconds(0)).to.equal(250);
    });

    it("allows no request without a share", () => {
        const pacer = createRequestPacer(share(2, 0.5), 0);
        pacer.configure(share(0), 10_000);
        expect(pacer.waitMilliseconds(20_000)).to.equal(Number.POSITIVE_INFINITY);
    });
});
