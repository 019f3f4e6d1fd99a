/** Heads without progress are suspected while the group in which they stalled exists. */
import { createLoadTracker } from "@damaskvale/core";
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { type StallDetector, startStallDetector } from "../stalldetector.js";

const work = { promptTokens: 100, stream: true };

describe("stall detector", () => {
    let clock: Clock;
    let detector: StallDetector;
    let group: string | undefined;
    const loadTracker = createLoadTracker();
    const moved: string[] = [];
    const reported: string[] = [];
    beforeEach(() => {
        clock = install();
        group = "group-1";
        moved.length = 0;
        reported.length = 0;
        detector = startStallDetector({
            clock: { monotonic: () => clock.now, wall: () => clock.now },
            log: { emit: () => undefined },
            loadTracker,
            groupOf: () => group,
            moveStreams: head => {
                moved.push(head);
                loadTracker.ended(head, work.promptTokens, false);
            },
            report: head => void reported.push(head),
        });
        loadTracker.sent("head", work, 0);
        clock.tick(1_200);
    });
    afterEach(() => {
        detector.stop();
        loadTracker.clear("head");
        clock.uninstall();
    });

    it("suspects a head without progress and moves its streams", () => {
        expect([moved, loadTracker.get("head")?.suspectedAt]).to.deep.equal([["head"], 1_100]);
    });

    it("keeps the suspicion while the group exists", () => {
        clock.tick(3_000);
        expect(loadTracker.get("head")?.suspectedAt).to.equal(1_100);
    });

    it("suspects an unusable head at once and reports it once", () => {
        ["other", "other"].forEach(detector.headUnusable);
        expect([reported, loadTracker.get("other")?.suspectedAt]).to.deep.equal([["head", "other"], 1_200]);
    });

    it("clears the suspicion when the head is in a new group, so that the new group gets requests", () => {
        group = "group-2";
        clock.tick(100);
        expect(loadTracker.get("head")?.suspectedAt).to.equal(undefined);
    });
});
