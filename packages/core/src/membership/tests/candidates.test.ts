/** Few daemons of a large fleet renew a lease, and others take their place when they are lost. */
import { expect } from "chai";
import { isPartitionCandidate } from "../candidates.js";

const PARTITIONS = 16;
const fleet = (size: number): string[] => Array.from({ length: size }, (...[, index]) => `d${index}`);
const candidatesOf = (daemons: readonly string[]): string[] =>
    daemons.filter(self => isPartitionCandidate(self, daemons.filter(other => other !== self), PARTITIONS));

describe("candidates for partitions", () => {
    const sizes: readonly { readonly daemons: number; readonly candidates: number; }[] = [
        { daemons: 1, candidates: 1 },
        { daemons: 9, candidates: 9 },
        { daemons: 195, candidates: 16 },
        { daemons: 410, candidates: 16 },
    ];
    sizes.forEach(({ daemons, candidates }) =>
        it(`are ${candidates} of ${daemons} daemons`, () => {
            expect(candidatesOf(fleet(daemons))).to.have.length(candidates);
        })
    );

    it("are replaced when they are lost, and stay otherwise", () => {
        const daemons = fleet(195);
        const before = candidatesOf(daemons);
        const lost = before.slice(0, 10);
        const after = candidatesOf(daemons.filter(daemon => !lost.includes(daemon)));
        expect(after).to.have.length(16).and.include.members(before.slice(10));
    });

    it("are all daemons that hear of no others, which may be cut off from these alone", () => {
        expect(isPartitionCandidate("d9", [], PARTITIONS)).to.equal(true);
    });
});
