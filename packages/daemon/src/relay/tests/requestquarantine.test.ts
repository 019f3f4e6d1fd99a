/** Which daemon tries a quarantined part again, and what a daemon tells the others, its log and its request path. */
import { expect } from "chai";
import { createRequestQuarantine, type RequestQuarantine } from "../requestquarantine.js";
import { quarantinePart } from "./fixture.js";

interface Daemon {
    readonly quarantine: RequestQuarantine;
    readonly logged: string[];
    readonly cancelled: string[];
}

function createDaemon(self: string, reachable: readonly string[], known: number, now: () => number): Daemon {
    const logged: string[] = [];
    const cancelled: string[] = [];
    const created = createRequestQuarantine({
        clock: { monotonic: now, wall: () => 0 },
        log: { emit: name => void logged.push(name) },
        self,
        reachableDaemons: () => reachable,
        knownDaemons: () => known,
        isCutOff: () => false,
    });
    created.onQuarantined(part => cancelled.push(part));
    return { quarantine: created, logged, cancelled };
}

describe("the quarantine of a daemon", () => {
    const names = ["d0", "d1", "d2", "d3"];
    const pause = 30_000;
    const trials = (reachableOf: (name: string) => readonly string[], known: number, now: number): number =>
        names.map(name => createDaemon(name, reachableOf(name), known, () => now))
            .filter(({ quarantine: created }) => {
                quarantinePart(created, { statedAt: 0, crashes: 2 });
                return created.check(["bad"], true).kind === "trial";
            }).length;
    const others = (name: string): readonly string[] => names.filter(other => other !== name);
    const oneOther = (name: string): readonly string[] => others(name).slice(0, 1);
    const nobody = (): readonly string[] => [];
    const hour = 3_600_000;

    const chosen: readonly { readonly guards: string; readonly trials: number; readonly run: () => number; }[] = [
        { guards: "a part is tried before its pause is over", trials: 0, run: () => trials(others, 4, pause - 1) },
        { guards: "no daemon or several daemons try it at first", trials: 1, run: () => trials(others, 4, pause) },
        { guards: "only a daemon without requests may try it", trials: 2, run: () => trials(others, 4, pause + 500) },
        { guards: "a daemon without requests bars the others", trials: 3, run: () => trials(others, 4, pause + 1_000) },
        { guards: "a whole fleet tries it at once", trials: 3, run: () => trials(others, 4, hour) },
        { guards: "two halves of a fleet try it", trials: 0, run: () => trials(oneOther, 4, hour) },
        { guards: "a daemon that hears nobody tries it", trials: 0, run: () => trials(nobody, 4, hour) },
        { guards: "a daemon that is alone never tries it", trials: 4, run: () => trials(nobody, 1, hour) },
    ];
    chosen.forEach(({ guards, trials: expected, run }) =>
        it(`prevents that ${guards}`, () => expect(run()).to.equal(expected))
    );

    it("lets only first attempts try a part again", () => {
        const { quarantine: created } = createDaemon("d0", [], 1, () => 3_600_000);
        quarantinePart(created, { statedAt: 0 });
        expect(created.check(["bad"], false).kind).to.equal("refused");
        expect(created.check(["bad"], true).kind).to.equal("trial");
    });

    it("tells the others of crashes at once, and not of what they told", () => {
        let told = 0;
        const { quarantine: created, logged, cancelled } = createDaemon("d0", [], 2, () => 10);
        created.onUpdate(() => {
            told += 1;
        });
        quarantinePart(created);
        expect({ told, logged, cancelled }).to.deep.equal({
            told: 0,
            logged: ["promptPartQuarantined"],
            cancelled: ["bad"],
        });
        const attempt = created.observe({ id: "t", startedAt: 1 }, ["x"]);
        attempt.sent();
        attempt.connectionLost();
        expect(told).to.equal(1);
    });

    it("announces a quarantine once, and again after a release", () => {
        const { quarantine: created, logged, cancelled } = createDaemon("d0", [], 2, () => 10);
        quarantinePart(created);
        quarantinePart(created, { revision: 2, crashes: 4 });
        expect(cancelled).to.deep.equal(["bad"]);
        expect(created.release("bad")).to.equal(true);
        expect(created.release("bad")).to.equal(false);
        expect(created.check(["bad"], false).kind).to.equal("allowed");
        expect(logged.at(-1)).to.equal("promptPartReleased");
        quarantinePart(created, { revision: 1e6 });
        expect(cancelled).to.deep.equal(["bad", "bad"]);
    });
});
