/** `damaskvale table diff`. */
import type { RowDifference } from "@damaskvale/core";
import { Args, Flags } from "@oclif/core";
import { exitCodes } from "../../exitcodes.js";
import { TableCommand } from "../../tablecommand.js";
import { findDifferences, formatDifference, safeReadTableFile } from "../../tablefile.js";

/** Shows what `table apply` would change. */
export default class TableDiff extends TableCommand {
    static override summary = "Shows what table apply would change.";
    static override examples = [
        "<%= config.bin %> <%= command.id %> table.csv",
        "<%= config.bin %> <%= command.id %> table.csv --prune --json",
    ];
    static override args = { file: Args.string({ description: "Table file.", required: true }) };
    static override flags = {
        prune: Flags.boolean({ description: "Shows rows that are not in the file as deleted.", default: false }),
    };

    async run(): Promise<{ differences: RowDifference[]; }> {
        const { args, flags } = await this.parse(TableDiff);
        const file = safeReadTableFile(args.file);
        if (file.err) {
            return this.exitWithIssues(exitCodes.invalidInput, file.val);
        }
        const { rows } = await this.readTable(flags);
        const found = findDifferences(rows, file.val, flags.prune);
        found.forEach(difference => this.log(formatDifference(difference)));
        this.log(`${found.length} differences.`);
        return { differences: found };
    }
}
