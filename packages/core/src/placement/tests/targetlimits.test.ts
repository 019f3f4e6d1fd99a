/** A target's limit holds from its first statement until the same process states none, for whichever daemon hears it. */
import { expect } from "chai";
import { createTargetLimits, type TargetLimits } from "../targetlimits.js";

const STARTED_AT = 1_000;
const answer = { target: "a", startedAt: STARTED_AT, sentAt: 0, succeeded: true };
const limited = (limits: TargetLimits, rate = 2.4, now = 100): unknown =>
    limits.observe({ ...answer, requestsPerSecond: rate }, now);

const cases: readonly {
    readonly guards: string;
    readonly then: (limits: TargetLimits) => unknown;
    readonly rate: number | undefined;
}[] = [
    { guards: "forgetting a limit", then: () => undefined, rate: 2.4 },
    {
        guards: "keeping a limit that the target states no more",
        then: limits => limits.observe({ ...answer, sentAt: 101 }, 200),
        rate: undefined,
    },
    {
        guards: "ending a limit by a response that an earlier request was due",
        then: limits => limits.observe({ ...answer, sentAt: 99 }, 200),
        rate: 2.4,
    },
    {
        guards: "ending a limit by an error",
        then: limits => limits.observe({ ...answer, sentAt: 101, succeeded: false }, 200),
        rate: 2.4,
    },
    {
        guards: "missing a limit in an error",
        then: limits => limits.observe({ ...answer, succeeded: false, requestsPerSecond: 1 }, 200),
        rate: 1,
    },
    {
        guards: "ignoring what another daemon heard later",
        then: limits => limits.merge({ target: "a", startedAt: STARTED_AT, statedAt: 101 }),
        rate: undefined,
    },
    {
        guards: "believing what another daemon heard earlier",
        then: limits => limits.merge({ target: "a", startedAt: STARTED_AT, requestsPerSecond: 9, statedAt: 99 }),
        rate: 2.4,
    },
    {
        guards: "keeping a limit of an earlier process",
        then: limits => limits.merge({ target: "a", startedAt: STARTED_AT + 1, requestsPerSecond: 9, statedAt: 99 }),
        rate: undefined,
    },
    {
        guards: "a late response of an earlier process ending the limit of the present one",
        then: limits => limits.observe({ ...answer, startedAt: STARTED_AT - 1, sentAt: 101 }, 200),
        rate: 2.4,
    },
    {
        guards: "dropping the limit of a known target that gets no requests",
        then: limits => limits.prune(() => true, 1e9),
        rate: 2.4,
    },
    {
        guards: "keeping the limit of a target that is gone",
        then: limits => limits.prune(() => false, 1e9),
        rate: undefined,
    },
];

describe("target limits", () => {
    cases.forEach(({ guards, then, rate }) => {
        it(`guards against ${guards}`, () => {
            const limits = createTargetLimits();
            limited(limits);
            then(limits);
            expect(limits.rateOf("a", STARTED_AT)).to.equal(rate);
        });
    });

    it("reports only statements that change the rate in force", () => {
        const limits = createTargetLimits();
        const changes = [
            limited(limits),
            limited(limits),
            limited(limits, 3),
            limits.observe({ ...answer, sentAt: 500 }, 501),
        ];
        expect(changes.map(change => change !== undefined)).to.deep.equal([true, false, true, true]);
    });
});
