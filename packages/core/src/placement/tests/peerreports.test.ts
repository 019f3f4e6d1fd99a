/** Reports of other daemons count only while they are recent, and suspicions only if more than one daemon has them. */
import { expect } from "chai";
import { createLoadTracker } from "../loadtracker.js";
import { createPeerLoads } from "../peerloads.js";
import { createSuspicions } from "../suspicions.js";

describe("loads of other daemons", () => {
    it("are summed, replaced by newer reports, and dropped when a daemon stops reporting", () => {
        const loads = createPeerLoads();
        const report = (inProgress: number) => [{ target: "x", inProgress, pendingPromptTokens: 10 }];
        loads.update("one", report(3), 0);
        loads.update("two", report(2), 500);
        loads.update("one", report(1), 1_000);
        expect(loads.totalOf("x", 1_000)).to.deep.equal({ inProgress: 3, pendingPromptTokens: 20 });
        expect(loads.totalOf("x", 2_600)).to.deep.equal({ inProgress: 1, pendingPromptTokens: 10 });
        expect(loads.peers(2_600)).to.deep.equal(["one"]);
    });
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
