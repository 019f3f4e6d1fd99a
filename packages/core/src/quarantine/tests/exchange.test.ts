/** Daemons that tell each other what they know come to the same decisions, in whatever order and however late. */
import { expect } from "chai";
import { MAXIMUM_REPORTED_CRASHES, MAXIMUM_REPORTED_PARTS, MAXIMUM_STATEMENTS } from "../constants.js";
import { createPartQuarantine } from "../quarantine.js";
import type { PartQuarantine, QuarantineReport } from "../types.js";

const never = (): boolean => false;
const parts = (quarantine: PartQuarantine): string[] => quarantine.quarantined().map(({ part }) => part);
const crash = (quarantine: PartQuarantine, process: number, candidates: readonly string[], now: number): unknown =>
    quarantine.recordCrash({ target: `t${process}`, startedAt: process, parts: candidates }, now);
/** Returns a report as it is read after a delay: ages are those of the time at which it was written. */
const delayed = ({ crashes, proven, statements }: QuarantineReport, by: number): QuarantineReport => ({
    crashes: crashes.map(entry => ({ ...entry, at: entry.at + by })),
    proven: proven.map(entry => ({ ...entry, at: entry.at + by })),
    statements: statements.map(entry => ({
        ...entry,
        statedAt: entry.statedAt + by,
        trialAt: entry.trialAt === undefined ? undefined : entry.trialAt + by,
    })),
});

describe("exchange of the part quarantine", () => {
    it("guards against daemons that each saw one crash and never decide", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        crash(second, 2, ["a"], 1_000);
        const changes = second.merge(first.report(1_050), 1_050);
        expect(changes.map(({ part, state, crashes }) => [part, state, crashes])).to.deep.equal([[
            "a",
            "quarantined",
            2,
        ]]);
    });

    it("guards against decisions that depend on the order of reports", () => {
        const sources = [1, 2, 3].map(process => {
            const source = createPartQuarantine();
            crash(source, process, process === 2 ? ["a", "b"] : ["a", "c"], process * 1_000);
            source.recordProven(["c"], 3_100, 2_900);
            return source.report(3_200);
        });
        const orders = [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]];
        const results = orders.map(order => {
            const quarantine = createPartQuarantine();
            order.flatMap(index => sources[index] ?? []).forEach(report => quarantine.merge(report, 3_300));
            return parts(quarantine);
        });
        expect(results).to.deep.equal(orders.map(() => ["a"]));
    });

    it("guards against blaming a part that another daemon proves", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        second.merge(first.report(50), 50);
        second.recordProven(["a"], 1_500);
        first.merge(second.report(1_600), 1_600);
        crash(first, 2, ["a"], 2_000);
        expect(parts(first)).to.deep.equal([]);
    });

    it("guards against a late message that brings back what was released", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        crash(first, 2, ["a"], 1_000);
        const old = first.report(1_000);
        second.merge(old, 1_050);
        second.release("a", 2_000);
        second.merge(delayed(old, 9_000), 10_000);
        first.merge(second.report(10_000), 10_050);
        expect([...parts(first), ...parts(second)]).to.deep.equal([]);
    });

    it("guards against times that grow younger with each message to and fro", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        crash(first, 2, ["a"], 1_000);
        [...Array(50).keys()].map(round => 1_000 + round * 150).forEach(now => {
            second.merge(delayed(first.report(now), 50), now + 50);
            first.merge(delayed(second.report(now + 60), 50), now + 110);
        });
        expect(first.quarantined()[0]?.statedAt).to.equal(1_000);
        expect(first.report(9_000).crashes.map(({ at }) => at).sort()).to.deep.equal([0, 1_000]);
    });

    it("guards against a withdrawn crash that others tell anew", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        const old = first.report(10);
        first.withdrawCrash("t1", 1, 500);
        first.merge(old, 600);
        second.merge(old, 600);
        second.merge(first.report(700), 700);
        crash(first, 2, ["a"], 1_000);
        crash(second, 2, ["a"], 1_000);
        expect([...parts(first), ...parts(second)]).to.deep.equal([]);
    });

    it("guards against a trial that crashes and is repeated", () => {
        const [first, second] = [createPartQuarantine(), createPartQuarantine()];
        crash(first, 1, ["a"], 0);
        crash(first, 2, ["a"], 1_000);
        second.merge(first.report(1_000), 1_050);
        expect(second.check(["a"], () => true, 40_000).kind).to.equal("trial");
        crash(second, 3, ["a"], 41_000);
        first.merge(second.report(41_000), 41_050);
        expect(first.quarantined().map(({ cause, crashes }) => [cause, crashes])).to.deep.equal([["trial-failed", 3]]);
        expect(first.check(["a"], () => true, 80_000).kind).to.equal("refused");
    });

    it("guards against trials after the fourth crash", () => {
        const quarantine = createPartQuarantine();
        [1, 2, 3, 4].forEach(process => crash(quarantine, process, ["a"], process * 1_000));
        expect(quarantine.check(["a"], () => true, 3_600_000).kind).to.equal("refused");
    });

    it("guards against reports and tables that grow without a bound, and refuses nothing because of them", () => {
        const quarantine = createPartQuarantine();
        [...Array(400).keys()].forEach(index =>
            crash(quarantine, index, [...Array(200).keys()].map(part => `${index >> 1}-${part}`), index * 2_000)
        );
        const report = quarantine.report(1_000_000);
        expect(report.crashes.length).to.be.at.most(MAXIMUM_REPORTED_CRASHES);
        expect(report.crashes.flatMap(entry => entry.parts).length).to.be.at.most(MAXIMUM_REPORTED_PARTS);
        expect(quarantine.quarantined().length).to.be.at.most(MAXIMUM_STATEMENTS);
        expect(quarantine.check(["other"], never, 1_000_000).kind).to.equal("allowed");
    });

    it("guards against refused callers who return together", () => {
        const quarantine = createPartQuarantine();
        crash(quarantine, 1, ["a"], 0);
        crash(quarantine, 2, ["a"], 1_000);
        const times = [...Array(20).keys()].map(() => {
            const verdict = quarantine.check(["a"], never, 2_000);
            return verdict.kind === "refused" ? verdict.retryAfterMilliseconds : 0;
        });
        expect(new Set(times.map(time => Math.floor(time / 500))).size).to.be.at.least(15);
        expect(Math.min(...times)).to.be.at.least(29_000);
    });
});
