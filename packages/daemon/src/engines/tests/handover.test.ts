/** A new owner reads reports from before the last joins of the former one, and must not take its groups apart. */
import { expect } from "chai";
import { PlannedDomain } from "./planneddomain.js";

const REPORT_AGE_MILLISECONDS = 300;
const TAKEN_OVER_AFTER_MILLISECONDS = 20;
const GROUP = "d~m~1.1";
/** When the former owner forms a group; the rounds of the new one are not in step with it. */
const FORMED_AT_MILLISECONDS = [2_150, 2_250, 2_350];

describe("planner after a hand-over with reports from before the last joins", () => {
    let domain: PlannedDomain;
    afterEach(() => domain.stop());

    [1, 2, 3].flatMap(size => FORMED_AT_MILLISECONDS.map(formedAt => ({ size, formedAt }))).forEach((
        { size, formedAt },
    ) => it(`keeps a group of ${size} hosts that the former owner formed at ${formedAt} ms`, async () => {
        const ids = ["a", "b", "c"].slice(0, size);
        domain = new PlannedDomain({ ids, startedAt: 7, reportAgeMilliseconds: REPORT_AGE_MILLISECONDS });
        domain.fencingToken = undefined;
        domain.start(size);
        await domain.clock.tickAsync(formedAt);
        ids.forEach(host =>
            domain.engine(host).order(
                { kind: "join", host, group: GROUP, epoch: 1, model: "m", members: ids },
                { fencingToken: 1, expectedSequence: 0 },
            )
        );
        await domain.clock.tickAsync(TAKEN_OVER_AFTER_MILLISECONDS);
        domain.fencingToken = 2;
        await domain.clock.tickAsync(20_000);
        expect(domain.engine("a").membership?.state).to.equal("open");
        expect(domain.state.servingGroups("pool", "m").length, "groups that the own state shows").to.equal(1);
        expect(ids.flatMap(id => domain.engine(id).counted)).not.to.include("leave");
    }));
});
