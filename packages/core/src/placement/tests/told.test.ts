/** Daemons act on what others tell only while it is fresh and more than one of them says so. */
import { expect } from "chai";
import { createLoadTracker } from "../loadtracker.js";
import { createPeerLoads } from "../peerloads.js";
import { createSuspicions } from "../suspicions.js";

describe("loads of other daemons", () => {
    it("are summed, replaced by newer ones, and dropped with a daemon that falls silent", () => {
        const loads = createPeerLoads();
        const told = (inProgress: number) => [{ target: "x", inProgress, pendingPromptTokens: 10 }];
        loads.update("one", told(3), 0);
        loads.update("two", told(2), 500);
        loads.update("one", told(1), 1_000);
        expect(loads.totalOf("x", 1_000)).to.deep.equal({ inProgress: 3, pendingPromptTokens: 20 });
        expect(loads.totalOf("x", 2_600)).to.deep.equal({ inProgress: 1, pendingPromptTokens: 10 });
        expect(loads.peers(2_600)).to.deep.equal(["one"]);
    });
});

describe("suspicions", () => {
    it("of one daemon, which may be cut off itself, are not enough", () => {
        const suspicions = createSuspicions();
        expect([suspicions.record("x", "one", 0), suspicions.record("x", "one", 10)]).to.deep.equal([false, false]);
        expect(suspicions.record("x", "two", 20)).to.equal(true);
    });

    it("of long ago do not count", () => {
        const suspicions = createSuspicions();
        suspicions.record("x", "one", 0);
        expect(suspicions.record("x", "two", 3_000)).to.equal(false);
    });
});

describe("load board", () => {
    it("forgets a target without requests", () => {
        const board = createLoadTracker();
        board.sent("x", { promptTokens: 50, stream: true }, 0);
        board.sent("x", { promptTokens: 70, stream: true }, 5);
        expect(board.get("x")).to.deep.include({ inProgress: 2, awaitingFirstEvent: 2, pendingPromptTokens: 120 });
        board.started("x", 50, 10);
        board.ended("x", 50, true);
        board.ended("x", 70, false);
        expect(board.get("x")).to.equal(undefined);
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
