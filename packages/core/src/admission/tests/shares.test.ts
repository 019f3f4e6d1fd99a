import { expect } from "chai";
import { createDemandBook } from "../demand.js";
import { computeShares } from "../shares.js";

const limits = [{ team: "a", weight: 1, queueLength: 9, requestsPerSecond: 90 }];
const demand = (rate: number) => new Map([["a", rate]]);
const rateOf = (own: number, others: number[], knownDaemons: number) =>
    computeShares({ limits, own: demand(own), others: others.map(demand), knownDaemons })[0]?.requestsPerSecond ?? 0;

describe("computeShares", () => {
    const cases: { guards: string; shares: () => number[]; expected: number[]; }[] = [
        { guards: "shares of an idle team are uneven", shares: () => [rateOf(0, [0, 0], 3)], expected: [30] },
        {
            guards: "a limit is divided evenly although the demand is not",
            shares: () => [rateOf(180, [0, 0], 3), rateOf(0, [180, 0], 3)],
            expected: [84, 3],
        },
        { guards: "an isolated daemon takes the whole limit", shares: () => [rateOf(500, [], 9)], expected: [10] },
        {
            guards: "one of a side takes all of the side's part",
            shares: () => [rateOf(500, [0, 0], 9)],
            expected: [20],
        },
    ];
    cases.forEach(({ guards, shares, expected }) => {
        it(`does not fail like this: ${guards}`, () => {
            shares().forEach((value, index) => expect(value).to.be.closeTo(expected[index] ?? 0, 0.001));
        });
    });

    it("raises a share only after the others have had the time to hear of the demand", () => {
        const book = createDemandBook(5_000);
        const rate = (now: number) => book.shares(limits, 2, now)[0]?.requestsPerSecond ?? 0;
        const rates = Array.from(Array(10).keys(), second => {
            book.measured(demand(second === 0 ? 0 : 200), second * 1_000);
            book.heard("other", demand(0), second * 1_000);
            return rate(second * 1_000);
        });
        expect(rates[6]).to.be.lessThan(46);
        expect(rates[7]).to.be.greaterThan(80);
        expect(rate(15_000), "the other daemon is no longer heard").to.equal(45);
    });
});
