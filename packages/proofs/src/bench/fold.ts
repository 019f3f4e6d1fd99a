/** Benchmark of the folds: entries a second and snapshots, against a fold that copies its state for each entry. */
import {
    applyEntry,
    canonicalText,
    type ClaimsBody,
    claimsFold,
    decodeSnapshot,
    type Edit,
    encodeSnapshot,
    type Entry,
    type FoldDefinition,
    type FoldState,
    initialFoldState,
    tableFold,
} from "@damaskvale/core";
import { createHash } from "node:crypto";
import type { Bench, BenchFigure } from "./types.js";

const AUTHOR = { daemon: "bench", incarnation: "1" };
const ITEMS = 10_000;
const CLAIMS_PER_RECORD = 8;

interface Case<State, Body> {
    readonly scenario: string;
    readonly definition: FoldDefinition<State, Body>;
    readonly bodies: readonly Body[];
    /** Key of each changed item, for the baseline. */
    keys(body: Body): readonly string[];
}

const edits = (count: number): Edit[] =>
    [...Array(count).keys()].map(index => ({
        kind: "edit",
        key: `rule:r${index}`,
        baseRevision: 0,
        row: { kind: "rule", name: `r${index}`, model: "*", team: `t${index}`, target: "*", weight: 1 },
    }));

const claims = (count: number): ClaimsBody[] =>
    [...Array(Math.ceil(count / CLAIMS_PER_RECORD)).keys()].map(record => ({
        kind: "claims",
        claims: [...Array(CLAIMS_PER_RECORD).keys()].map(index => ({
            claim: `c${record}-${index}`,
            team: "t",
            keyHash: createHash("sha256").update(`${record}-${index}`).digest("hex"),
            bodyHash: "b".repeat(64),
        })),
        releases: [],
        outcomes: [],
    }));

/** Runs the benchmark. */
export const foldBench: Bench = {
    name: "fold",
    run: async ({ seed, quick }) => {
        const count = quick ? ITEMS / 5 : ITEMS;
        const table: Case<unknown, Edit> = {
            scenario: `table of ${count} rows`,
            definition: tableFold as FoldDefinition<unknown, Edit>,
            bodies: edits(count),
            keys: ({ key }) => [key],
        };
        const keys: Case<unknown, ClaimsBody> = {
            scenario: `${count} claims, ${CLAIMS_PER_RECORD} in a record`,
            definition: claimsFold as FoldDefinition<unknown, ClaimsBody>,
            bodies: claims(count),
            keys: body => body.claims.map(({ keyHash }) => keyHash),
        };
        return { name: "fold", seed, quick, figures: [...measure(table, count), ...measure(keys, count)] };
    },
};

function measure<State, Body>(one: Case<State, Body>, count: number): BenchFigure[] {
    const entries = one.bodies.map((body, offset): Entry => ({
        offset,
        time: offset,
        value: { version: 1, id: `bench-${offset}`, author: AUTHOR, basis: offset, body },
    }));
    const folded = time(() =>
        entries.reduce<FoldState<State>>(
            (state, entry) => applyEntry(one.definition, state, entry).folded,
            initialFoldState(one.definition),
        )
    );
    const copied = time(() =>
        one.bodies.reduce<ReadonlyMap<string, unknown>>(
            (state, body) => new Map([...state, ...one.keys(body).map(key => [key, body] as const)]),
            new Map(),
        )
    );
    const encoded = time(() => encodeSnapshot(one.definition.name, folded.value));
    const decoded = time(() => decodeSnapshot(one.definition, one.definition.name, encoded.value));
    const plain = time(() => JSON.stringify(one.bodies));
    const figure = (subject: string, baseline: boolean, measure: string, unit: string, value: number): BenchFigure => ({
        scenario: one.scenario,
        subject,
        baseline,
        measure,
        unit,
        value,
        better: "lower",
    });
    const perItem = (milliseconds: number) => 1_000 * milliseconds / count;
    return [
        figure("fold", false, "fold", "µs for each item", perItem(folded.milliseconds)),
        figure("copy of the state for each record", true, "fold", "µs for each item", perItem(copied.milliseconds)),
        figure("fold", false, "snapshot written", "ms", encoded.milliseconds),
        figure("fold", false, "snapshot read", "ms", decoded.milliseconds),
        figure("JSON of the bodies alone", true, "snapshot written", "ms", plain.milliseconds),
        figure("fold", false, "snapshot", "bytes for each item", canonicalText(encoded.value).length / count),
    ];
}

function time<Value>(work: () => Value): { readonly value: Value; readonly milliseconds: number; } {
    const startedAt = performance.now();
    const value = work();
    return { value, milliseconds: performance.now() - startedAt };
}
