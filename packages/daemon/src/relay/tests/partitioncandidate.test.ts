/** How many daemons of a fleet that starts together try to share the partitions. */
import { expect } from "chai";
import { createPartitionCandidate } from "../partitioncandidate.js";

const PARTITIONS = 16;
const cases: readonly {
    readonly daemons: number;
    readonly afterMilliseconds: number;
    readonly running: number;
    readonly candidates: number;
}[] = [
    { daemons: 195, afterMilliseconds: 100, running: 0, candidates: 0 },
    { daemons: 195, afterMilliseconds: 600, running: 0, candidates: 16 },
    { daemons: 195, afterMilliseconds: 600, running: 100, candidates: 16 },
    { daemons: 8, afterMilliseconds: 600, running: 0, candidates: 8 },
    { daemons: 1, afterMilliseconds: 600, running: 0, candidates: 1 },
];

describe("daemons that share the partitions", () => {
    cases.forEach(({ daemons, afterMilliseconds, running, candidates }) =>
        it(`are ${candidates} of ${daemons} after ${afterMilliseconds} ms with ${running} known to run`, () => {
            let now = 0;
            const names = Array.from({ length: daemons }, (...[, index]) => `daemon-${index}`);
            const live = running === 0 ? names : names.slice(0, running);
            const decisions = live.map(daemon =>
                createPartitionCandidate({
                    clock: { monotonic: () => now, wall: () => now },
                    daemon,
                    partitionCount: PARTITIONS,
                    running: () => running === 0 ? [] : live.filter(name => name !== daemon),
                    announced: () => names.filter(name => name !== daemon),
                })
            );
            now = afterMilliseconds;
            expect(decisions.filter(isCandidate => isCandidate()).length).to.equal(candidates);
        })
    );
});
