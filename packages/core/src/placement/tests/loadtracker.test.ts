/** The load of a target never falls below nothing, and no target is kept that has no requests and is not suspected. */
import { expect } from "chai";
import { createLoadTracker, type LoadTracker } from "../loadtracker.js";

const send = (tracker: LoadTracker): void => tracker.sent("t", { promptTokens: 10, stream: true }, 0);

const cases: readonly { guards: string; act: (tracker: LoadTracker) => void; targets: readonly string[]; }[] = [
    {
        guards: "an entry for a first event of an unknown target",
        act: tracker => tracker.started("t", 10, 1),
        targets: [],
    },
    { guards: "an entry for bytes of an unknown target", act: tracker => tracker.progressed("t", 1), targets: [] },
    {
        guards: "an entry after bytes that arrive behind the end of the last request",
        act: tracker => {
            send(tracker);
            tracker.ended("t", 10, false);
            tracker.progressed("t", 1);
        },
        targets: [],
    },
    {
        guards: "an entry of an idle target whose suspicion ended by progress",
        act: tracker => {
            tracker.suspect("t", 0);
            tracker.progressed("t", 1);
        },
        targets: [],
    },
    {
        guards: "dropping a suspected target with its last request",
        act: tracker => {
            send(tracker);
            tracker.suspect("t", 1);
            tracker.ended("t", 10, false);
        },
        targets: ["t"],
    },
];

describe("load tracker", () => {
    cases.forEach(({ guards, act, targets }) =>
        it(`prevents ${guards}`, () => {
            const tracker = createLoadTracker();
            act(tracker);
            expect(tracker.targets()).to.deep.equal(targets);
        })
    );

    it("prevents counts below zero when a first event or an end is told twice", () => {
        const tracker = createLoadTracker();
        send(tracker);
        tracker.started("t", 10, 1);
        tracker.started("t", 10, 1);
        expect(tracker.get("t")).to.deep.include({ inProgress: 1, awaitingFirstEvent: 0, pendingPromptTokens: 0 });
        tracker.suspect("t", 1);
        tracker.ended("t", 10, true);
        tracker.ended("t", 10, false);
        expect(tracker.get("t")).to.deep.include({ inProgress: 0, awaitingFirstEvent: 0, pendingPromptTokens: 0 });
    });
});
