/** Observations of failures belong to one process, fade, and add up over daemons in any order. */
import { expect } from "chai";
import { createFailureObservations, failureShareOf, mergeFailureSums } from "../failuresums.js";

const first = { target: "a", startedAt: 1 };
const second = { target: "a", startedAt: 2 };
const half = 1_500;

describe("observations of failures", () => {
    it("are kept apart for each process of a target, also for one of unknown start", () => {
        const observations = createFailureObservations();
        observations.record(first, true, 0);
        observations.record(second, false, 0);
        observations.record({ target: "a" }, true, 0);
        expect(observations.sums(0)).to.deep.equal([
            { ...first, requests: 1, failures: 1 },
            { ...second, requests: 1, failures: 0 },
            { target: "a", startedAt: undefined, requests: 1, failures: 1 },
        ]);
    });

    it("count half after the half-life and end", () => {
        const observations = createFailureObservations();
        observations.record(first, true, 0);
        observations.record(first, false, half);
        expect(observations.sums(half)).to.deep.equal([{ ...first, requests: 1.5, failures: 0.5 }]);
        expect(observations.sums(20 * half)).to.deep.equal([]);
    });

    it("add up by process", () => {
        const sums = [
            [{ ...first, requests: 2, failures: 1 }, { ...second, requests: 4, failures: 0 }],
            [{ ...first, requests: 1, failures: 1 }],
        ];
        const expected = [{ ...first, requests: 3, failures: 2 }, { ...second, requests: 4, failures: 0 }];
        expect(mergeFailureSums(sums)).to.deep.equal(expected);
        expect(mergeFailureSums([...sums].reverse())).to.deep.equal(expected);
    });

    it("give a small share for one failure, and a share that falls without requests", () => {
        expect(failureShareOf({ requests: 10, failures: 1 })).to.be.below(0.1);
        expect(failureShareOf({ requests: 10, failures: 5 })).to.be.within(0.4, 0.5);
        expect(failureShareOf({ requests: 1, failures: 0.5 })).to.be.below(0.2);
    });
});
