/**
 * Benchmark of a new version of the configuration at a daemon: how long it holds the event loop, alone and in quick
 * succession, by size. Each figure has its bound from the stated targets beside it.
 */
import { execFile } from "node:child_process";
import { join } from "node:path";
import { promisify } from "node:util";
import type { Bench, BenchFigure } from "./types.js";

interface Measurement {
    readonly kilobytes: number;
    readonly first: number;
    readonly longest: number;
    readonly processor: number;
    readonly share: number;
    readonly longestDelay: number;
}

interface Size {
    readonly scenario: string;
    readonly routes: number;
    readonly teams: number;
}

const PROGRAM = join(__dirname, "..", "..", "..", "..", "platform", "dist", "bench", "configuration.js");
const sizes: readonly Size[] = [
    { scenario: "110 routes, 10 teams", routes: 110, teams: 10 },
    { scenario: "460 routes, 10 teams", routes: 460, teams: 10 },
    { scenario: "4600 routes, 100 teams", routes: 4_600, teams: 100 },
];
const VERSIONS = 100;
const QUICK_VERSIONS = 20;
/** Callers give up after a second without a sign, and a hold delays all of them: a tenth of it. */
const HOLD_BOUND_MILLISECONDS = 100;
const CHANGES_PER_DAY = 3_800;
const MILLISECONDS_PER_DAY = 86_400_000;
/** A tenth of the 2.2% of a core that a daemon may take, so that changes leave the rest to requests. */
const CORE_BOUND_PERCENT = 0.22;
const PERCENT = 100;

/** Runs the benchmark. */
export const configurationBench: Bench = {
    name: "configuration",
    run: async ({ seed, quick }) => {
        const figures: BenchFigure[] = [];
        for (const { scenario, routes, teams } of sizes) {
            const parameters = [PROGRAM, routes, teams, quick ? QUICK_VERSIONS : VERSIONS].map(String);
            const { stdout } = await promisify(execFile)(process.execPath, parameters);
            figures.push(...figuresOf(scenario, JSON.parse(stdout) as Measurement));
        }
        return { name: "configuration", seed, quick, figures };
    },
};

function figuresOf(scenario: string, measurement: Measurement): BenchFigure[] {
    const pair = (measure: string, unit: string, value: number, bound: number): BenchFigure[] =>
        [{ subject: "damaskvale", baseline: false, value }, { subject: "bound", baseline: true, value: bound }]
            .map(figure => ({ scenario, measure, unit, better: "lower", ...figure }));
    const { kilobytes, first, longest, processor, share, longestDelay } = measurement;
    const daily = PERCENT * processor * CHANGES_PER_DAY / MILLISECONDS_PER_DAY;
    return [
        {
            scenario,
            subject: "damaskvale",
            baseline: false,
            measure: "size",
            unit: "kB",
            value: kilobytes,
            better: "lower",
        },
        ...pair("first version", "ms", first, HOLD_BOUND_MILLISECONDS),
        ...pair("longest later version", "ms", longest, HOLD_BOUND_MILLISECONDS),
        {
            scenario,
            subject: "damaskvale",
            baseline: false,
            measure: "processor time",
            unit: "ms",
            value: processor,
            better: "lower",
        },
        ...pair("3,800 versions a day", "% of a core", daily, CORE_BOUND_PERCENT),
        ...pair("longest delay, one version each 80 ms", "ms", longestDelay, HOLD_BOUND_MILLISECONDS),
        // Versions that take longer than their interval are skipped, since only the newest of a read is applied.
        ...pair("one version each 80 ms", "% of a core", PERCENT * share, PERCENT),
    ];
}
