import { expect } from "chai";
import { applyEntry, initialFoldState } from "../../stream/fold.js";
import type { EntryResult } from "../../stream/types.js";
import { checkTable } from "../check.js";
import { formatTable, parseTable, safeParseTable } from "../csv.js";
import { diffTables } from "../diff.js";
import { tableFold, type TableState } from "../fold.js";
import { callFor, indexTable, ruleFor } from "../lookup.js";
import { type Row, rowKey, rowSchema } from "../row.js";

const row = (fields: object): Row => rowSchema.parse(fields);
const keyed = (fields: object) => ({ key: rowKey(row(fields)), row: row(fields) });
const target = (weight: number) => row({ kind: "target", name: "t", weight });

interface Step {
    readonly base: number;
    readonly row?: Row;
}

function edit(steps: readonly Step[]): EntryResult<TableState> {
    return steps.reduce<EntryResult<TableState>>(({ folded }, { base, row: changed }) => {
        const offset = folded.nextOffset;
        const body = { kind: "edit", key: "target:t", baseRevision: base, row: changed };
        const value = {
            version: 1,
            id: `r${offset}`,
            author: { daemon: `d${offset}`, incarnation: "1" },
            basis: 0,
            body,
        };
        return applyEntry(tableFold, folded, { offset, time: 0, value });
    }, { kind: "past", folded: initialFoldState(tableFold) });
}

describe("table fold", () => {
    const cases: { fault: string; steps: Step[]; code?: string; text?: string; }[] = [
        {
            fault: "a row written at offset 0 is treated as absent",
            steps: [{ base: 0, row: target(1) }, { base: 0, row: target(2) }],
            code: "edit_conflict",
            text: "d0 changed the row first with record r0 at offset 0",
        },
        {
            fault: "the second of two conflicting edits is accepted",
            steps: [{ base: 0, row: target(1) }, { base: 1, row: target(2) }, { base: 1, row: target(3) }],
            code: "edit_conflict",
            text: "d1 changed",
        },
        {
            fault: "a conflict with a deletion does not name who deleted the row",
            steps: [{ base: 0, row: target(1) }, { base: 1 }, { base: 1, row: target(3) }],
            code: "edit_conflict",
            text: "d1 changed",
        },
        { fault: "the deletion of an absent row is accepted", steps: [{ base: 0 }], code: "row_absent" },
        {
            fault: "an edit with the key of another row is accepted",
            steps: [{ base: 0, row: row({ kind: "target", name: "u" }) }],
            code: "key_mismatch",
        },
        {
            fault: "an edit of the current revision is rejected",
            steps: [{ base: 0, row: target(1) }, { base: 1, row: target(2) }],
        },
    ];

    cases.forEach(({ fault, steps, code, text }) => {
        it(`guards against: ${fault}`, () => {
            const { issue } = edit(steps);
            expect(issue?.code).to.equal(code);
            expect(issue?.message ?? "").to.contain(text ?? "");
        });
    });
});

describe("table lookups", () => {
    const index = indexTable([
        { kind: "call", name: "all", service: "fees", repeatable: "yes" },
        { kind: "call", name: "stat", service: "fees", path: "/stat", repeatable: "yes" },
        { kind: "call", name: "pay", service: "fees", method: "POST", path: "/stat", repeatable: "no" },
        { kind: "rule", name: "any" },
        { kind: "rule", name: "team", team: "b" },
        { kind: "rule", name: "target", target: "c" },
        { kind: "rule", name: "two", model: "a", team: "b" },
    ].map(keyed));

    const calls = [["GET", "/stat", "stat"], ["POST", "/stat/1?x=/", "pay"], ["POST", "/statements", "all"]];
    calls.forEach(([method = "", path = "", name]) => {
        it(`finds call ${name} for ${method} ${path}`, () => {
            expect(callFor(index, "fees", method, path)?.name).to.equal(name);
        });
    });

    const rules = [["a", "b", "c", "two"], ["x", "b", "c", "target"], ["x", "b", "y", "team"], ["x", "y", "z", "any"]];
    rules.forEach(([model = "", team = "", host = "", name]) => {
        it(`finds rule ${name} for ${model}, ${team}, ${host}`, () => {
            expect(ruleFor(index, model, team, host)?.name).to.equal(name);
        });
    });
});

describe("table as CSV", () => {
    const rows = [
        row({ kind: "model", name: "m", version: "=1+1", members: 2, replicas: 1, dataCentres: ["a", "b"] }),
        row({ kind: "model", name: "n", version: '\'quoted, "x"\n; y', members: 2, replicas: 1 }),
        row({ kind: "service", name: "s", urls: ["http://h/a b", "http://h/\\s"] }),
        row({ kind: "call", name: "c", service: "s", path: "/ x", repeatable: "no" }),
        row({ kind: "team", name: "t", weight: 0.1 }),
    ];
    const entries = rows.map((one, revision) => ({ row: one, revision }));

    it("parses formatted rows back to the same rows", () => {
        const back = parseTable(formatTable(entries)).map(({ row: one, revision }) => ({ row: one, revision }));
        expect(back).to.deep.equal(entries);
    });

    it("has no cell that a spreadsheet would run as a formula", () => {
        expect(formatTable(entries)).to.contain(",'=1+1,").and.not.match(/(^|,)"?[=+@-]/m);
    });

    it("is parsed with a byte order mark, semicolons and Windows line endings", () => {
        expect(parseTable("\uFEFFkind;name;weight\r\ntarget;t;2\r\n")[0]?.row).to.deep.equal(target(2));
    });

    it("reports all issues together with row and column", () => {
        const text = "kind,name,weight,colour\ntarget,t,much,\ntarget,u,,red\nmodel,m,1,,9\ntarget,v,,,\nbus,x,,";
        const found = safeParseTable(text, "f.csv").val as { code: string; place: object; }[];
        const places = found.map(({ code, place }) => `${code} ${Object.values(place).slice(1).join(" ")}`);
        expect(places).to.include.members(["unknown_column 1 colour", "invalid_type 2 weight", "surplus_cell 4"]);
        expect(places).to.include.members(["unused_column 4 weight", "invalid_type 4 version", "invalid_union 6 kind"]);
        expect(safeParseTable('kind,name\n"target', "f.csv").val).to.have.nested.property("[0].code", "invalid_csv");
    });

    ["weight", "revision", "members"].forEach(column =>
        it(`does not read a cell of white space as 0 in ${column}`, () => {
            const kind = column === "members" ? "model" : "target";
            const text = `kind,name,${column}${column === "members" ? ",version,replicas" : ""}\n${kind},t, `;
            const found = safeParseTable(column === "members" ? `${text},1,1` : text, "f.csv").val;
            expect(found).to.have.nested.property("[0].place").that.deep.equals({ file: "f.csv", row: 2, column });
        })
    );

    const checks: { code: string; rows: object[]; }[] = [
        { code: "duplicate_key", rows: [{ kind: "target", name: "t" }, { kind: "target", name: "t" }] },
        { code: "duplicate_rule", rows: [{ kind: "rule", name: "a" }, { kind: "rule", name: "b" }] },
        {
            code: "duplicate_key_hash",
            rows: ["a", "b"].map(name => ({ kind: "team", name, keyHashes: ["0".repeat(64)] })),
        },
        {
            code: "duplicate_call",
            rows: ["a", "b"].map(name => ({ kind: "call", name, service: "x", repeatable: "no" })),
        },
        {
            code: "unknown_model",
            rows: [{ kind: "target", name: "t" }, { kind: "team", name: "a", models: ["*", "m"] }],
        },
        { code: "unknown_team", rows: [{ kind: "target", name: "t" }, { kind: "rule", name: "a", team: "b" }] },
        {
            code: "unknown_service",
            rows: [{ kind: "target", name: "t" }, { kind: "team", name: "a", services: ["b"] }],
        },
    ];
    checks.forEach(({ code, rows: checked }) => {
        it(`reports ${code} with file, row and column`, () => {
            const found = checkTable(checked.map((fields, index) => ({ ...keyed(fields), line: index + 2 })), "f.csv");
            expect(found.find(one => one.code === code)?.place).to.include({ file: "f.csv", row: 3 });
        });
    });

    it("lists the columns of a row that differ", () => {
        const before = [keyed({ kind: "target", name: "a" }), keyed({ kind: "target", name: "b" })];
        const after = [keyed({ kind: "target", name: "b", weight: 2 }), keyed({ kind: "target", name: "c" })];
        const found = diffTables(before, after).map(one => [one.key, one.kind === "changed" ? one.columns : one.kind]);
        expect(found).to.deep.equal([["target:a", "removed"], ["target:b", ["weight"]], ["target:c", "added"]]);
    });
});
