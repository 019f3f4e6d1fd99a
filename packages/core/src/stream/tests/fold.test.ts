import { expect } from "chai";
import { z } from "zod";
import { applyEntry, initialFoldState } from "../fold.js";
import type { Entry } from "../record.js";
import { decodeSnapshot, encodeSnapshot } from "../snapshot.js";
import type { FoldDefinition, FoldState } from "../types.js";
import { BASIS_WINDOW } from "../window.js";

const body = z.discriminatedUnion("kind", [z.object({ kind: z.literal("add"), by: z.number() })]);
const sum: FoldDefinition<{ sum: number; }, z.infer<typeof body>> = {
    name: "sum",
    body,
    state: z.object({ sum: z.number() }),
    initial: () => ({ sum: 0 }),
    apply: (state, { by }) => ({ kind: "accepted", state: { sum: state.sum + by } }),
};
const author = { daemon: "a", incarnation: "1" };
const add = (id: string, basis = 0, by = 1) => ({ version: 1, id, author, basis, body: { kind: "add", by } });
const entry = (offset: number, value: unknown): Entry => ({ offset, time: 0, value });

function fold(values: readonly unknown[], from = initialFoldState(sum)): FoldState<{ sum: number; }> {
    return values.reduce<FoldState<{ sum: number; }>>(
        (folded, value) => applyEntry(sum, folded, entry(folded.nextOffset, value)).folded,
        from,
    );
}

describe("fold", () => {
    const cases: { fault: string; before: unknown[]; entry: Entry; kind: string; sum: number; }[] = [
        {
            fault: "a resent record is applied twice",
            before: [add("x")],
            entry: entry(1, add("x")),
            kind: "duplicate",
            sum: 1,
        },
        { fault: "an entry is applied twice", before: [add("x")], entry: entry(0, add("x")), kind: "past", sum: 1 },
        {
            fault: "the fold continues across a gap",
            before: [add("x")],
            entry: entry(2, add("y")),
            kind: "gap",
            sum: 1,
        },
        {
            fault: "an entry that is not a record stops the fold",
            before: [],
            entry: entry(0, "x"),
            kind: "malformed",
            sum: 0,
        },
        {
            fault: "a record with a basis above its offset is accepted",
            before: [],
            entry: entry(0, add("x", 1)),
            kind: "rejected",
            sum: 0,
        },
        {
            fault: "an invalid body of a known kind halts the fold",
            before: [],
            entry: entry(0, { ...add("x"), body: { kind: "add" } }),
            kind: "rejected",
            sum: 0,
        },
        {
            fault: "a record of an unknown version is skipped",
            before: [],
            entry: entry(0, { version: 2 }),
            kind: "halted",
            sum: 0,
        },
        {
            fault: "a record of an unknown kind is skipped",
            before: [],
            entry: entry(0, { ...add("x"), body: { kind: "new" } }),
            kind: "halted",
            sum: 0,
        },
        {
            fault: "a halted fold continues",
            before: [{ version: 9 }],
            entry: entry(0, add("x")),
            kind: "halted",
            sum: 0,
        },
    ];

    cases.forEach(({ fault, before, entry: next, kind, sum: expected }) => {
        it(`guards against: ${fault}`, () => {
            const applied = applyEntry(sum, fold(before), next);
            expect({ kind: applied.kind, sum: applied.folded.state.sum }).to.deep.equal({ kind, sum: expected });
        });
    });

    it("rejects a duplicate that arrives after the id of the record has left the window", () => {
        const noise = [...Array(BASIS_WINDOW).keys()].map(() => "noise");
        const within = fold([add("x"), ...noise.slice(1), add("x")]);
        const after = fold([add("x"), ...noise, add("x")]);
        expect([within.state.sum, after.state.sum, fold(["noise"], after).decisions.size]).to.deep.equal([1, 1, 0]);
    });

    it("does not change an older window when a newer one is created", () => {
        const before = fold([add("x")]);
        fold([add("y")], before);
        expect([...before.decisions.keys()]).to.deep.equal(["x"]);
    });
});

describe("snapshot", () => {
    it("contains the decisions, so that a new reader drops a duplicate", () => {
        const decoded = decodeSnapshot(sum, "s", encodeSnapshot("s", fold([add("x")]))).unwrap();
        expect(fold([add("x")], decoded).state.sum).to.equal(1);
    });

    const snapshot = encodeSnapshot("s", fold([add("x")]));
    const unknown = encodeSnapshot("s", { ...fold([]), state: { sum: 0, later: 1 } });
    const refused = [
        {
            fault: "a modified text is loaded",
            value: { ...snapshot, text: snapshot.text.replace("1", "2") },
            code: "snapshot_corrupt",
        },
        {
            fault: "the state of another stream is loaded",
            value: encodeSnapshot("t", fold([])),
            code: "snapshot_foreign",
        },
        { fault: "a state of a later version is loaded partially", value: unknown, code: "snapshot_unknown" },
        { fault: "a wrong offset is accepted", value: { ...snapshot, nextOffset: 9 }, code: "snapshot_foreign" },
    ];

    refused.forEach(({ fault, value, code }) => {
        it(`guards against: ${fault}`, () => {
            expect(decodeSnapshot(sum, "s", value).val).to.have.property("code", code);
        });
    });
});
