/** Reports of other daemons count only while they are recent, and suspicions only if more than one daemon has them. */
import { expect } from "chai";
import { createLoadSums, type LoadReport, type LoadSums } from "../loadsums.js";
import { createLoadTracker } from "../loadtracker.js";
import { createSuspicions } from "../suspicions.js";

describe("sums of reported loads", () => {
    const report = (daemon: string, sequence: number, inProgress: number, startedAt = 1): LoadReport => ({
        daemon,
        startedAt,
        sequence,
        loads: [{ target: "x", inProgress, pendingPromptTokens: 10 }],
    });
    const sumAt = (sums: LoadSums, now: number): readonly unknown[] =>
        sums.sums(now).map(({ inProgress, pendingPromptTokens }) => [inProgress, pendingPromptTokens]);

    it("are replaced by newer reports, and dropped when a daemon stops reporting", () => {
        const sums = createLoadSums();
        sums.update(report("one", 1, 3), 0);
        sums.update(report("two", 1, 2), 500);
        sums.update(report("one", 2, 1), 1_000);
        expect(sumAt(sums, 1_000)).to.deep.equal([[3, 20]]);
        expect(sumAt(sums, 2_600)).to.deep.equal([[1, 10]]);
        expect(sums.included(2_600).map(({ daemon }) => daemon)).to.deep.equal(["one"]);
        expect(sumAt(sums, 3_000)).to.deep.equal([]);
    });

    const outdated: readonly { readonly guards: string; readonly late: LoadReport; readonly sum: number; }[] = [
        { guards: "an earlier report that overtook none", late: report("one", 4, 9), sum: 3 },
        { guards: "the same report received twice", late: report("one", 5, 3), sum: 3 },
        { guards: "a report of an earlier process", late: report("one", 99, 9, 0), sum: 3 },
        { guards: "a first report of a later process taken for an old one", late: report("one", 1, 2, 2), sum: 2 },
    ];
    outdated.forEach(({ guards, late, sum }) =>
        it(`guards against ${guards}`, () => {
            const sums = createLoadSums();
            sums.update(report("one", 5, 3), 0);
            sums.update(late, 10);
            expect(sumAt(sums, 20)).to.deep.equal([[sum, 10]]);
        })
    );
});

describe("suspicions", () => {
    it("of a single daemon, which may itself be partitioned, are not enough", () => {
        const suspicions = createSuspicions();
        expect([suspicions.record("x", "one", 0), suspicions.record("x", "one", 10)]).to.deep.equal([false, false]);
        expect(suspicions.record("x", "two", 20)).to.equal(true);
    });

    it("expire", () => {
        const suspicions = createSuspicions();
        suspicions.record("x", "one", 0);
        expect(suspicions.record("x", "two", 3_000)).to.equal(false);
    });
});

describe("load tracker", () => {
    it("removes a target without requests", () => {
        const tracker = createLoadTracker();
        tracker.sent("x", { promptTokens: 50, stream: true }, 0);
        tracker.sent("x", { promptTokens: 70, stream: true }, 5);
        expect(tracker.get("x")).to.deep.include({ inProgress: 2, awaitingFirstEvent: 2, pendingPromptTokens: 120 });
        tracker.started("x", 50, 10);
        tracker.ended("x", 50, true);
        tracker.ended("x", 70, false);
        expect(tracker.get("x")).to.equal(undefined);
    });

    it("keeps a suspicion without requests until it is cleared", () => {
        const board = createLoadTracker();
        board.suspect("x", 3);
        expect(board.targets()).to.deep.equal(["x"]);
        board.clear("x");
        expect(board.targets()).to.deep.equal([]);
    });

    it("ends a suspicion with progress", () => {
        const board = createLoadTracker();
        board.sent("x", { promptTokens: 1, stream: true }, 0);
        board.suspect("x", 3);
        board.progressed("x", 4);
        expect(board.get("x")?.suspectedAt).to.equal(undefined);
    });
});
