/** Command `npm run proofs`: runs the fuzz modules; exits with 1 if an invariant is violated. */
import { Command, Flags } from "@oclif/core";
import { fuzzModules } from "./index.js";
import type { FuzzResult } from "./types.js";

class Proofs extends Command {
    static override readonly description = "Runs the stateful fuzz modules.";
    static override readonly flags = {
        seed: Flags.integer({ description: "Seed of the scenarios.", default: 1 }),
        runs: Flags.integer({ description: "Number of scenarios per module.", default: 200, min: 1 }),
        only: Flags.string({
            description: "Name of the only module to run.",
            options: fuzzModules.map(({ name }) => name),
        }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(Proofs);
        const chosen = fuzzModules.filter(({ name }) => flags.only === undefined || flags.only === name);
        const results: FuzzResult[] = [];
        for (const fuzz of chosen) {
            const startedAt = Date.now();
            const result = await fuzz.run(flags.seed, flags.runs);
            results.push(result);
            this.report(result, Date.now() - startedAt);
        }
        if (results.length === 0 || results.some(({ passed }) => !passed)) {
            this.exit(1);
        }
    }

    private report(result: FuzzResult, milliseconds: number): void {
        const { name, seed, runs, passed } = result;
        this.log(`${passed ? "passed" : "FAILED"}: ${name}, seed ${seed}, ${runs} runs, ${milliseconds} ms`);
        if (!passed) {
            this.log(`counterexample: ${result.counterexample}\nerror: ${result.error}\ntrace:`);
            (result.trace ?? []).forEach(line => this.log(`    ${line}`));
            this.log(`repeat with: npm run proofs -- --seed ${seed} --runs ${runs} --only ${name}`);
        }
    }
}

Proofs.run(process.argv.slice(2), __dirname).catch((error: Error & { oclif?: { exit?: number; }; }) => {
    if (error.oclif?.exit === undefined) {
        console.error(error);
    }
    else if (error.oclif.exit !== 1) {
        console.error(error.message);
    }
    process.exitCode = error.oclif?.exit ?? 1;
});
