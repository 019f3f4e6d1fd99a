/** Guards against more requests within one second than a cold target takes, from all daemons together. */
import { expect } from "chai";
import fc from "fast-check";
import { createColdPacer } from "../coldpacer.js";
import { coldBound, type ColdShare, type ColdStartTolerance, computeColdShare } from "../coldshare.js";

const RATE = 17;
const TOLERANCE: ColdStartTolerance = { factor: 1.5, requests: 5 };
const SECOND = 1_000;
const TICK_MILLISECONDS = 4;

const names = (count: number, prefix = "d"): string[] => Array.from({ length: count }, (...[, i]) => `${prefix}${i}`);

/** Returns the share of each daemon, which knows the names that `knownOf` returns. */
const sharesOf = (
    daemons: readonly string[],
    knownOf: (daemon: string) => readonly string[],
    requestsPerSecond = RATE,
    tolerance = TOLERANCE,
): ColdShare[] =>
    daemons.map(self =>
        computeColdShare({ target: "t", requestsPerSecond, tolerance, self, knownDaemons: knownOf(self) })
    );

/** Returns when a daemon sends that always has a request for the target, which stays cold. */
const sendTimes = (share: ColdShare, milliseconds: number): number[] => {
    const pacer = createColdPacer(share, Number.MAX_SAFE_INTEGER, 0);
    return Array.from({ length: milliseconds / TICK_MILLISECONDS }, (...[, i]) => i * TICK_MILLISECONDS).filter(now => {
        const isSent = pacer.waitMilliseconds(now) === 0;
        if (isSent) {
            pacer.recordSent(now);
        }
        return isSent;
    });
};

/** Returns the largest number of times within a second, both ends included. */
const mostWithinSecond = (unsorted: readonly number[]): number => {
    const times = [...unsorted].sort((left, right) => left - right);
    return Math.max(0, ...times.map(start => times.filter(at => at >= start && at <= start + SECOND).length));
};

describe("share of a cold target", () => {
    [1, 3, 8, 35, 81, 410].forEach(count => {
        it(`keeps ${count} daemons with unlimited demand within the bound, and uses the rate`, () => {
            const daemons = names(count);
            const times = sharesOf(daemons, () => daemons).flatMap(share => sendTimes(share, 4 * SECOND));
            expect(mostWithinSecond(times)).to.be.at.most(coldBound(RATE, TOLERANCE));
            expect(times.length).to.be.within(4 * RATE - 20, 4 * RATE + 14);
        });
    });

    it("keeps the bound while the lists of three daemons lack three others", () => {
        const daemons = names(81);
        fc.assert(
            fc.property(fc.shuffledSubarray(daemons, { minLength: 6, maxLength: 6 }), changed => {
                const [behind, unknown] = [changed.slice(0, 3), changed.slice(3)];
                const shares = sharesOf(
                    daemons,
                    self => behind.includes(self) ? daemons.filter(name => !unknown.includes(name)) : daemons,
                );
                const most = shares.reduce(
                    (sum, { requestsPerSecond }) =>
                        sum + (requestsPerSecond > 0 ? Math.floor(1 + requestsPerSecond) : 0),
                    0,
                );
                return most <= coldBound(RATE, TOLERANCE);
            }),
            { seed: 1, numRuns: 40 },
        );
    });

    it("keeps any bound that allows a request a second at all", () => {
        fc.assert(
            fc.property(
                fc.double({ min: 0.1, max: 60, noNaN: true }),
                fc.double({ min: 0.5, max: 3, noNaN: true }),
                fc.double({ min: 0, max: 10, noNaN: true }),
                fc.integer({ min: 1, max: 40 }),
                (rate, factor, requests, count) => {
                    const daemons = names(count);
                    const shares = sharesOf(daemons, () => daemons, rate, { factor, requests });
                    const most = shares.reduce(
                        (sum, { requestsPerSecond }) =>
                            sum + (requestsPerSecond > 0 ? Math.floor(1 + requestsPerSecond) : 0),
                        0,
                    );
                    return most <= coldBound(rate, { factor, requests });
                },
            ),
            { seed: 1, numRuns: 500 },
        );
    });

    it("gives nothing to a daemon that does not know itself among the others", () => {
        expect(sharesOf(["d0"], () => [])).to.deep.equal([{ requestsPerSecond: 0, initialLevel: 0, joinsAt: 1 }]);
    });
});
