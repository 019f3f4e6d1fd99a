/** Daemons learn from collectors which targets are slow, each observation counts for a bounded time, and the log names them. */
import { expect } from "chai";
import type { EventFields } from "../../ports/eventlog.js";
import { createSharedSpeeds, type SharedSpeeds, slowTargetsSchema, speedsSchema } from "../sharedspeeds.js";

describe("shared speeds of targets", () => {
    let now = 0;
    let events: [string, EventFields | undefined][] = [];
    const create = (): SharedSpeeds =>
        createSharedSpeeds(
            { monotonic: () => now, wall: () => 0 },
            { emit: (name, fields) => void events.push([name, fields]) },
        );
    const slowReport = (): ReturnType<SharedSpeeds["report"]> => {
        const speeds = create();
        [1, 2, 3].forEach(() => speeds.record("slow", 5));
        speeds.record("sound", 1);
        return speeds.report();
    };

    beforeEach(() => {
        now = 0;
        events = [];
    });

    it("reach a daemon that observed nothing itself, also from another data centre", () => {
        const [collector, remoteCollector, member] = [create(), create(), create()];
        collector.receiveReport("d1", slowReport());
        remoteCollector.receiveDataCentre("a", collector.reportToDataCentres());
        member.receiveStatement(remoteCollector.state());
        expect(member.slowTargets().map(({ target }) => target)).to.deep.equal(["slow"]);
        expect(member.slownessOf("slow")).to.be.above(2);
        expect(member.slownessOf("sound")).to.equal(1);
    });

    it("do not carry over to the next process of a target", () => {
        const [collector, member] = [create(), create()];
        collector.receiveReport("d1", slowReport());
        [1, 2, 3].forEach(() => member.record("slow", 5));
        member.receiveStatement(collector.state());
        member.forget("slow");
        expect([member.slownessOf("slow"), member.report()]).to.deep.equal([1, []]);
    });

    it("end when no report and no statement comes any more", () => {
        const [collector, member] = [create(), create()];
        collector.receiveReport("d1", slowReport());
        member.receiveStatement(collector.state());
        now = 2_000;
        expect([collector.state(), member.slowTargets(), member.slownessOf("slow")]).to.deep.equal([[], [], 1]);
    });

    it("are logged once with their inputs when a target becomes and is no longer slow", () => {
        const collector = create();
        collector.receiveReport("d1", slowReport());
        collector.receiveReport("d2", slowReport());
        collector.state();
        collector.state();
        now = 2_000;
        collector.state();
        expect(events.map(([name]) => name)).to.deep.equal(["targetSlow", "targetNotSlow"]);
        expect(events[0]?.[1]).to.include({ target: "slow", observations: 6, observers: 2 });
    });

    const invalid: readonly (readonly [string, { safeParse(value: unknown): { success: boolean; }; }, unknown])[] = [
        ["a negative number of observations", speedsSchema, [["x", -1, 0]]],
        ["observations that are no number", speedsSchema, [["x", 1, Number.NaN]]],
        ["an infinite sum", speedsSchema, [["x", 1, Number.POSITIVE_INFINITY]]],
        ["a slowness below 1", slowTargetsSchema, [["x", 0.5]]],
    ];
    invalid.forEach(([guards, schema, message]) =>
        it(`refuse ${guards}`, () => expect(schema.safeParse(message).success).to.equal(false))
    );
});
