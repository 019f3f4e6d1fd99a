import { expect } from "chai";
import { createDemandTracker } from "../demand.js";
import { computeShares } from "../shares.js";

const limits = [{ team: "a", weight: 1, queueLength: 9, requestsPerSecond: 90 }];
const demand = (rate: number) => new Map([["a", rate]]);
const rateOf = (own: number, others: number[], knownDaemons: number) =>
    computeShares({ limits, own: demand(own), others: others.map(demand), knownDaemons })[0]?.requestsPerSecond ?? 0;

describe("computeShares", () => {
    const cases: { fault: string; shares: () => number[]; expected: number[]; }[] = [
        { fault: "the shares of an idle team are uneven", shares: () => [rateOf(0, [0, 0], 3)], expected: [30] },
        {
            fault: "a limit is divided evenly although the demand is uneven",
            shares: () => [rateOf(180, [0, 0], 3), rateOf(0, [180, 0], 3)],
            expected: [84, 3],
        },
        { fault: "an isolated daemon takes the whole limit", shares: () => [rateOf(500, [], 9)], expected: [10] },
        {
            fault: "one daemon takes the whole share of its side of a partition",
            shares: () => [rateOf(500, [0, 0], 9)],
            expected: [20],
        },
    ];
    cases.forEach(({ fault, shares, expected }) => {
        it(`guards against: ${fault}`, () => {
            shares().forEach((value, index) => expect(value).to.be.closeTo(expected[index] ?? 0, 0.001));
        });
    });

    it("raises a share only after the peers have had time to receive the new demand", () => {
        const tracker = createDemandTracker(5_000);
        const rate = (now: number) => tracker.shares(limits, 2, now)[0]?.requestsPerSecond ?? 0;
        const rates = Array.from(Array(10).keys(), second => {
            tracker.recordAdvertised(demand(second === 0 ? 0 : 200), second * 1_000);
            tracker.recordPeer("other", demand(0), second * 1_000);
            return rate(second * 1_000);
        });
        expect(rates[6]).to.be.lessThan(46);
        expect(rates[7]).to.be.greaterThan(80);
        expect(rate(15_000), "the reports of the other daemon have expired").to.equal(45);
    });

    it("advertises changes of the demand, but not noise, which would lower the utilization of the limit", () => {
        const tracker = createDemandTracker(5_000);
        const noisy = [9, 12, 6, 10, 8, 11, 7, 9, 10, 8].map((rate, second) =>
            tracker.recordMeasured(demand(rate), second * 1_000)
        );
        expect(new Set(noisy.map(advertised => advertised.get("a")))).to.have.length(1);
        const changed = [11, 14, 17, 20].map(second =>
            tracker.recordMeasured(demand(60), second * 1_000).get("a") ?? 0
        );
        expect(changed.at(-1)).to.be.greaterThan(40);
    });
});
