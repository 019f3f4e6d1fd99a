/** A daemon counts its own requests once, uses the better of two collectors, and never takes an old sum for an idle fleet. */
import { expect } from "chai";
import type { ReportIdentity } from "../loadsums.js";
import { createStatedLoads, type LoadStatement, type StatedLoads } from "../statedloads.js";

const self = { daemon: "me", startedAt: 5 };
const load = (inProgress: number) => [{ target: "x", inProgress, pendingPromptTokens: 100 * inProgress }];
const own = (sequence: number, startedAt = 5): ReportIdentity => ({ daemon: "me", startedAt, sequence });
const other: ReportIdentity = { daemon: "other", startedAt: 1, sequence: 1 };
const statement = (inProgress: number, included: readonly ReportIdentity[], collector = "c"): LoadStatement => ({
    collector,
    sums: load(inProgress),
    included,
    ageMilliseconds: 30,
});

describe("loads that collectors state", () => {
    let loads: StatedLoads;
    beforeEach(() => {
        loads = createStatedLoads(self);
        loads.recordSent(1, load(2));
        loads.recordSent(2, load(3));
    });
    const inProgress = (now: number): number => loads.totalOf("x", now).inProgress;

    const included: readonly {
        readonly guards: string;
        readonly reports: ReportIdentity[];
        readonly others: number;
    }[] = [
        { guards: "counting own requests twice", reports: [own(2), other], others: 4 },
        { guards: "subtracting a report that is not in the sum yet", reports: [own(1), other], others: 5 },
        { guards: "subtracting from a sum without this daemon", reports: [other], others: 7 },
        { guards: "taking the report of an earlier process for one of this process", reports: [own(2, 4)], others: 7 },
    ];
    included.forEach(({ guards, reports, others }) =>
        it(`guards against ${guards}`, () => {
            loads.merge(statement(7, reports), 0);
            expect(inProgress(0)).to.equal(others);
        })
    );

    it("come from the collector that knows more daemons, until it is silent", () => {
        loads.merge(statement(7, [own(2), other], "full"), 0);
        loads.merge(statement(3, [own(2)], "partial"), 100);
        expect(inProgress(100)).to.equal(4);
        loads.merge(statement(5, [own(2)], "partial"), 500);
        expect(inProgress(500)).to.equal(2);
    });

    it("come from the collector in use if another one knows as many daemons, because its reports may be older", () => {
        loads.merge(statement(7, [own(2), other], "first"), 0);
        loads.merge(statement(4, [own(2), other], "second"), 100);
        expect(inProgress(100)).to.equal(4);
    });

    it("fade slowly when no collector is heard", () => {
        loads.merge(statement(8, [other]), 0);
        expect([0, 2_000, 4_000, 6_000].map(inProgress)).to.deep.equal([8, 8, 4, 2]);
        expect(loads.ageMilliseconds(70)).to.equal(100);
    });

    it("of unknown targets are zero", () => {
        expect(loads.totalOf("y", 0)).to.deep.equal({ inProgress: 0, pendingPromptTokens: 0 });
        expect(loads.ageMilliseconds(0)).to.equal(undefined);
    });
});
