/** Command `npm run bench`: runs benchmarks and stores their results under bench/results. */
import { Command, Flags } from "@oclif/core";
import { execFileSync } from "node:child_process";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { benches } from "./index.js";
import type { BenchFigure, BenchResult } from "./types.js";

const ROOT = join(__dirname, "..", "..", "..", "..");
const RESULTS_DIRECTORY = join(ROOT, "bench", "results");

class BenchCommand extends Command {
    static override readonly description = "Runs the benchmarks, each with its baselines in the same run.";
    static override readonly flags = {
        seed: Flags.integer({ description: "Seed of the load.", default: 1 }),
        only: Flags.string({
            description: "Name of the only benchmark to run.",
            options: benches.map(({ name }) => name),
        }),
        quick: Flags.boolean({ description: "Shorter run; its results are not stored." }),
        json: Flags.boolean({ description: "Prints the results as JSON." }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(BenchCommand);
        const selected = benches.filter(({ name }) => flags.only === undefined || flags.only === name);
        for (const bench of selected) {
            const result = await bench.run({ seed: flags.seed, quick: flags.quick });
            this.log(flags.json ? JSON.stringify(result, undefined, 4) : formatResult(result));
            if (!flags.quick) {
                writeResult(result);
            }
        }
    }
}

/** Stores a result with the command that reproduces it and the commit at which it was measured. */
function writeResult(result: BenchResult): void {
    const git = (...parts: string[]) => execFileSync("git", parts, { cwd: ROOT, encoding: "utf8" }).trim();
    const command = `npm run bench -- --only ${result.name} --seed ${result.seed}`;
    const modified = git("status", "--porcelain", "--", "packages") !== "";
    const storedResult = { command, commit: git("rev-parse", "HEAD"), modified, node: process.version, ...result };
    mkdirSync(RESULTS_DIRECTORY, { recursive: true });
    writeFileSync(join(RESULTS_DIRECTORY, `${result.name}.json`), `${JSON.stringify(storedResult, undefined, 4)}\n`);
}

/** Formats a result as one table per scenario, with a row for each subject and a column for each measure. */
function formatResult({ name, seed, quick, figures }: BenchResult): string {
    const scenarios = [...new Set(figures.map(({ scenario }) => scenario))];
    const blocks = scenarios.map(scenario =>
        formatScenario(scenario, figures.filter(figure => figure.scenario === scenario))
    );
    return [`${name}, seed ${seed}${quick ? ", quick" : ""}`, ...blocks].join("\n\n");
}

function formatScenario(scenario: string, figures: readonly BenchFigure[]): string {
    const measures = [...new Set(figures.map(({ measure, unit }) => `${measure} [${unit}]`))];
    const subjects = [...new Set(figures.map(({ subject }) => subject))];
    const rows = subjects.map(subject => {
        const own = figures.filter(figure => figure.subject === subject);
        const values = measures.map(column =>
            own.find(({ measure, unit }) => `${measure} [${unit}]` === column)?.value.toFixed(2) ?? "-"
        );
        return [`${subject}${own[0]?.baseline ? " (baseline)" : ""}`, ...values];
    });
    const table = [[scenario, ...measures], ...rows];
    const widths = [...Array(measures.length + 1).keys()].map(column =>
        Math.max(...table.map(row => row[column]?.length ?? 0))
    );
    return table.map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")).join("\n");
}

BenchCommand.run(process.argv.slice(2), __dirname).catch((error: Error & { oclif?: { exit?: number; }; }) => {
    console.error(error.oclif === undefined ? error : error.message);
    process.exitCode = error.oclif?.exit ?? 1;
});
