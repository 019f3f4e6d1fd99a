import type { FileRow, RevisedRow, Row } from "@damaskvale/core";
import { expect } from "chai";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { planEdits, safeReadTableFile } from "../tablefile.js";

const rule = (weight: number): Row => ({ kind: "rule", name: "r", model: "*", team: "*", target: "*", weight });
const inForce = (revision: number, weight: number): RevisedRow[] => [{ key: "rule:r", revision, row: rule(weight) }];
const file = (revision: number, weight: number): FileRow[] => [{ key: "rule:r", revision, row: rule(weight), line: 2 }];

describe("planEdits", () => {
    const cases: {
        fault: string;
        before: RevisedRow[];
        after: FileRow[];
        prune?: boolean;
        current?: boolean;
        base: number[];
    }[] = [
        {
            fault: "a row that changed since the export is overwritten",
            before: inForce(7, 1),
            after: file(3, 2),
            base: [3],
        },
        { fault: "--current is ignored", before: inForce(7, 1), after: file(3, 2), current: true, base: [7] },
        { fault: "a row without differences is edited", before: inForce(7, 1), after: file(3, 1), base: [] },
        { fault: "a row is deleted without --prune", before: inForce(7, 1), after: [], base: [] },
        { fault: "a row is kept in spite of --prune", before: inForce(7, 1), after: [], prune: true, base: [7] },
    ];

    cases.forEach(({ fault, before, after, prune = false, current = false, base }) => {
        it(`guards against: ${fault}`, () => {
            expect(planEdits(before, after, { prune, current }).map(edit => edit.baseRevision)).to.deep.equal(base);
        });
    });
});

describe("safeReadTableFile", () => {
    it("reports issues of several rows together, with file, row and column", () => {
        const path = join(mkdtempSync(join(tmpdir(), "table-")), "table.csv");
        writeFileSync(path, "kind,name,weight,models\nrule,r,-1,\nteam,t,1,absent\nrule,s,many,\n");

        const result = safeReadTableFile(path);

        const places = (result.val as { place?: { row?: number; column?: string; }; }[]).map(({ place }) => place);
        expect(places.map(place => [place?.row, place?.column])).to.deep.include.members([[2, "weight"], [
            4,
            "weight",
        ]]);
    });

    it("reports a missing file as an issue", () => {
        expect(safeReadTableFile("absent.csv").err).to.equal(true);
    });
});
