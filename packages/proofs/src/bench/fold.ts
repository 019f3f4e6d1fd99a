/** Benchmark of the folds: time per item and snapshots, compared with a fold that copies its state for each entry. */
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
const ITEM_COUNT = 10_000;
const CLAIMS_PER_RECORD = 8;

interface FoldCase<State, Body> {
    readonly scenario: string;
    readonly definition: FoldDefinition<State, Body>;
    readonly bodies: readonly Body[];
    /** Returns the key of each item that a body changes; used by the baseline. */
    keys(body: Body): readonly string[];
}

const createEdits = (count: number): Edit[] =>
    [...Array(count).keys()].map(index => ({
        kind: "edit",
        key: `rule:r${index}`,
        baseRevision: 0,
        row: { kind: "rule", name: `r${index}`, model: "*", team: `t${index}`, target: "*", weight: 1 },
    }));

const createClaims = (count: number): ClaimsBody[] =>
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
        const count = quick ? ITEM_COUNT / 5 : ITEM_COUNT;
        const tableCase: FoldCase<unknown, Edit> = {
            scenario: `table of ${count} rows`,
            definition: tableFold as FoldDefinition<unknown, Edit>,
            bodies: createEdits(count),
            keys: ({ key }) => [key],
        };
        const claimsCase: FoldCase<unknown, ClaimsBody> = {
            scenario: `${count} claims, ${CLAIMS_PER_RECORD} in a record`,
            definition: claimsFold as FoldDefinition<unknown, ClaimsBody>,
            bodies: createClaims(count),
            keys: body => body.claims.map(({ keyHash }) => keyHash),
        };
        return { name: "fold", seed, quick, figures: [...measure(tableCase, count), ...measure(claimsCase, count)] };
    },
};

function measure<State, Body>(foldCase: FoldCase<State, Body>, count: number): BenchFigure[] {
    const entries = foldCase.bodies.map((body, offset): Entry => ({
        offset,
        time: offset,
        value: { version: 1, id: `bench-${offset}`, author: AUTHOR, basis: offset, body },
    }));
    const folded = measureTime(() =>
        entries.reduce<FoldState<State>>(
            (state, entry) => applyEntry(foldCase.definition, state, entry).folded,
            initialFoldState(foldCase.definition),
        )
    );
    const copied = measureTime(() =>
        foldCase.bodies.reduce<ReadonlyMap<string, unknown>>(
            (state, body) => new Map([...state, ...foldCase.keys(body).map(key => [key, body] as const)]),
            new Map(),
        )
    );
    const encoded = measureTime(() => encodeSnapshot(foldCase.definition.name, folded.value));
    const decoded = measureTime(() => decodeSnapshot(foldCase.definition, foldCase.definition.name, encoded.value));
    const plain = measureTime(() => JSON.stringify(foldCase.bodies));
    const figure = (subject: string, baseline: boolean, measure: string, unit: string, value: number): BenchFigure => ({
        scenario: foldCase.scenario,
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

function measureTime<Value>(work: () => Value): { readonly value: Value; readonly milliseconds: number; } {
    const startedAt = performance.now();
    const value = work();
    return { value, milliseconds: performance.now() - startedAt };
}
