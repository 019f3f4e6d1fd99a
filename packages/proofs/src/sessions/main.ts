/** Command `npm run golden`: compares the sessions with their golden files, or writes the files with `--renew`. */
import { Command, Flags, flush, handle } from "@oclif/core";
import { readGolden, recordSession, writeGolden } from "./run.js";
import { scripts } from "./scripts.js";

class Golden extends Command {
    static override readonly id = "golden";
    static override readonly description = "Compares recorded sessions with their golden files.";
    static override readonly flags = {
        "renew": Flags.boolean({ description: "Write the golden files instead of comparing them." }),
        "only": Flags.string({ description: "Run one session only.", options: Object.keys(scripts) }),
    };

    async run(): Promise<void> {
        const { flags } = await this.parse(Golden);
        const names = Object.keys(scripts).filter(name => flags.only === undefined || flags.only === name);
        let different = 0;
        for (const name of names) {
            const recorded = await recordSession(name);
            const same = recorded === await readGolden(name);
            different += same ? 0 : 1;
            if (flags.renew) {
                await writeGolden(name, recorded);
            }
            this.log(`${name}: ${same ? "same" : flags.renew ? "renewed" : "different"}`);
        }
        if (different > 0 && !flags.renew) {
            this.error(`${different} sessions differ from their golden files. Check them with --renew and git diff.`);
        }
    }
}

void Golden.run(process.argv.slice(2), __dirname).then(() => flush(), handle);
