/** How often messages contain what is new about quarantined parts, in data centres of different sizes. */
import { expect } from "chai";
import { createSendSchedule } from "../sendschedule.js";

const ROUND_MILLISECONDS = 120;
const SECONDS = 12;

/** Messages with quarantined parts that one collector of such a data centre may get in a second. */
const cases: readonly { readonly daemons: number; readonly most: number; readonly hasNews: boolean; }[] = [
    { daemons: 3, most: 3 * 9, hasNews: true },
    { daemons: 12, most: 12 * 9, hasNews: true },
    { daemons: 28, most: 70, hasNews: true },
    { daemons: 39, most: 70, hasNews: true },
    { daemons: 39, most: 45, hasNews: false },
];

describe("schedule of messages", () => {
    cases.forEach(({ daemons, most, hasNews }) =>
        it(`lets a collector of ${daemons} daemons get at most ${most} a second with ${hasNews ? "" : "no "}news`, () => {
            const schedule = createSendSchedule();
            const sent = Array.from(
                { length: SECONDS * 1_000 / ROUND_MILLISECONDS },
                (...[, round]) => schedule.repeatsQuarantine("report", hasNews, daemons, round * ROUND_MILLISECONDS),
            ).filter(Boolean);
            expect(sent.length).to.be.above(SECONDS / 2);
            expect(sent.length * daemons / SECONDS).to.be.at.most(most);
        })
    );
});
