/** Daemons learn from collectors which targets fail requests, for one process, for a bounded time, and the log names them. */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import { decodeExchangeMessage, encodeExchangeMessage, type ReportMessage } from "../../peers/exchangemessage.js";
import type { EventFields } from "../../ports/eventlog.js";
import { createSharedFailures, failuresSchema, type SharedFailures } from "../sharedfailures.js";

const target = (id: string, startedAt?: number): Target => ({ id, startedAt }) as Target;
const failing = target("failing", 7);

describe("shared failures of targets", () => {
    let now = 0;
    let events: [string, EventFields | undefined][] = [];
    const create = (detectsOutliers = true): SharedFailures =>
        createSharedFailures(
            detectsOutliers,
            { monotonic: () => now, wall: () => 0 },
            { emit: (name, fields) => void events.push([name, fields]) },
        );
    const record = (failures: SharedFailures): void => {
        [true, false, true, false].forEach(failed => failures.record(failing, failed));
        failures.record(target("sound", 3), false);
    };
    const reportOfOne = (): ReturnType<SharedFailures["report"]> => {
        const failures = create();
        record(failures);
        return failures.report();
    };

    beforeEach(() => {
        now = 0;
        events = [];
    });

    it("reach a daemon that observed nothing itself, also from another data centre", () => {
        const [collector, remoteCollector, member] = [create(), create(), create()];
        collector.receiveReport("d1", reportOfOne());
        remoteCollector.receiveDataCentre("a", collector.reportToDataCentres());
        member.receiveStatement(remoteCollector.state());
        expect(member.shareOf(failing)).to.be.within(0.3, 0.5);
        expect(member.shareOf(target("sound", 3))).to.equal(0);
        expect(member.failingTargets()).to.equal(1);
    });

    it("do not bind the next process of the target", () => {
        const [collector, member] = [create(), create()];
        collector.receiveReport("d1", reportOfOne());
        member.receiveStatement(collector.state());
        expect([member.shareOf(target("failing", 8)), member.shareOf(target("failing"))]).to.deep.equal([0, 0]);
    });

    it("are the daemon's own ones while it hears no collector", () => {
        const daemon = create();
        daemon.receiveStatement([]);
        record(daemon);
        expect(daemon.shareOf(failing)).to.equal(0);
        now = 2_000;
        record(daemon);
        expect(daemon.shareOf(failing)).to.be.above(0.2);
    });

    it("fade while nothing new arrives, and end", () => {
        const [collector, member] = [create(), create()];
        collector.receiveReport("d1", reportOfOne());
        member.receiveStatement(collector.state());
        const before = member.shareOf(failing) ?? 0;
        now = 1_500;
        expect(member.shareOf(failing)).to.be.below(0.8 * before);
        now = 2_000;
        expect([collector.state(), member.shareOf(failing)]).to.deep.equal([[], 0]);
    });

    it("keep what is known when a collector of an earlier version states nothing", () => {
        const [collector, member] = [create(), create()];
        collector.receiveReport("d1", reportOfOne());
        member.receiveStatement(collector.state());
        member.receiveStatement(undefined);
        expect(member.failingTargets()).to.equal(1);
    });

    it("are logged once when a target begins and no longer fails requests", () => {
        const collector = create();
        collector.receiveReport("d1", reportOfOne());
        collector.receiveReport("d2", reportOfOne());
        collector.state();
        collector.state();
        now = 2_000;
        collector.state();
        expect(events.map(([name]) => name)).to.deep.equal(["targetFailing", "targetNotFailing"]);
        expect(events[0]?.[1]).to.include({ target: "failing", startedAt: 7, requests: 8, failures: 4 });
    });

    it("are neither recorded, sent, used nor logged where outliers are not detected", () => {
        const inactive = create(false);
        record(inactive);
        inactive.receiveReport("d1", reportOfOne());
        inactive.receiveStatement(reportOfOne());
        expect([inactive.report(), inactive.state(), inactive.reportToDataCentres(), inactive.shareOf(failing)])
            .to.deep.equal([undefined, undefined, undefined, undefined]);
        expect([inactive.recordedFailures(), inactive.failingTargets(), events.length]).to.deep.equal([0, 0, 0]);
    });

    const common = { daemon: "d1", configurationVersion: 1, takesRequests: true, limits: [], leaving: [] };
    const report: ReportMessage = { kind: "report", ...common, startedAt: 1, sequence: 1, loads: [], speeds: [] };
    it("travel in a field that daemons of earlier versions leave out", () => {
        const [without, included] = [report, { ...report, failures: reportOfOne() }].map(message =>
            decodeExchangeMessage(encodeExchangeMessage(message))
        );
        expect(without).to.have.property("kind", "message");
        expect(included).to.have.nested.property("message.failures").that.deep.equals(reportOfOne());
    });

    const invalid: readonly (readonly [string, unknown])[] = [
        ["a negative number of requests", [["x", 1, -1, 0]]],
        ["failures that are no number", [["x", 1, 1, Number.NaN]]],
        ["infinite requests", [["x", 1, Number.POSITIVE_INFINITY, 0]]],
    ];
    invalid.forEach(([guards, message]) =>
        it(`refuse ${guards}`, () => expect(failuresSchema.safeParse(message).success).to.equal(false))
    );
});
