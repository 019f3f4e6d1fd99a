/** A target that fails more requests than the others is left out for most requests, but never all targets. */
import { expect } from "chai";
import { choosePlainTarget } from "../../placement/plaintarget.js";
import { type OutlierCandidate, withoutOutliers } from "../outlieravoidance.js";

interface Case {
    readonly name: string;
    readonly candidates: readonly OutlierCandidate[];
    /** Number drawn for each failing candidate. */
    readonly draw: number;
    readonly kept: readonly number[];
}

const sound = { failureShare: 0, totalInProgress: 0, slots: 6 };
const failing = { failureShare: 0.45, totalInProgress: 0, slots: 6 };
const full = { ...sound, totalInProgress: 9 };

const cases: readonly Case[] = [
    { name: "leaves out a failing target", candidates: [failing, sound, sound], draw: 0.5, kept: [1, 2] },
    { name: "keeps it for a few requests", candidates: [failing, sound, sound], draw: 0.04, kept: [0, 1, 2] },
    { name: "keeps the only target", candidates: [failing], draw: 0.99, kept: [0] },
    { name: "keeps all that fail alike", candidates: [failing, failing], draw: 0.99, kept: [0, 1] },
    {
        name: "leaves out the worse of two failing targets",
        candidates: [{ ...failing, failureShare: 0.9 }, failing],
        draw: 0.5,
        kept: [1],
    },
    {
        name: "tolerates single failures",
        candidates: [{ ...sound, failureShare: 0.07 }, sound],
        draw: 0.99,
        kept: [0, 1],
    },
    {
        name: "keeps it if the others have no room",
        candidates: [{ ...failing, totalInProgress: 6 }, full, full],
        draw: 0.99,
        kept: [0, 1, 2],
    },
    {
        name: "leaves it out if the others can take its requests",
        candidates: [{ ...failing, totalInProgress: 3 }, { ...sound, totalInProgress: 3 }, sound],
        draw: 0.5,
        kept: [1, 2],
    },
    { name: "keeps targets of unknown failures", candidates: [{}, {}], draw: 0.99, kept: [0, 1] },
    { name: "returns nothing for nothing", candidates: [], draw: 0.5, kept: [] },
];

describe("avoidance of targets that fail a part of their requests", () => {
    cases.forEach(({ name, candidates, draw, kept }) =>
        it(name, () => {
            const keptCandidates = withoutOutliers(candidates, () => draw);
            expect(keptCandidates).to.deep.equal(kept.map(index => candidates[index]));
        })
    );

    it("draws as often as before where no failures are known", () => {
        const drawsOf = (fields: OutlierCandidate): number => {
            let draws = 0;
            const candidates = ["x", "y"].map(id => ({
                id,
                dataCentre: "a",
                inProgress: 0,
                waitMilliseconds: 0,
                slowness: 1,
                ...fields,
            }));
            choosePlainTarget(candidates, "a", () => {
                draws += 1;
                return 0;
            });
            return draws;
        };
        expect([drawsOf({}), drawsOf({ failureShare: 0, totalInProgress: 9, slots: 1 })]).to.deep.equal([2, 2]);
    });

    it("chooses among the targets that take a request now, also if only a failing one does", () => {
        const candidate = { dataCentre: "a", inProgress: 0, slowness: 1 };
        const chosen = choosePlainTarget(
            [
                { ...candidate, ...failing, id: "failing", waitMilliseconds: 0 },
                { ...candidate, ...sound, id: "resting", waitMilliseconds: 300 },
            ],
            "a",
            () => 0.9,
        );
        expect(chosen).to.equal("failing");
    });
});
