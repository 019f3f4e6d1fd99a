/** `damaskvale table check`. */
import { Args } from "@oclif/core";
import { exitCodes } from "../../exitcodes.js";
import { TableCommand } from "../../tablecommand.js";
import { safeReadTableFile } from "../../tablefile.js";

/** Checks a table file without a daemon. */
export default class TableCheck extends TableCommand {
    static override summary =
        "Checks a table file without calling a daemon, and reports all issues with file, row and column.";
    static override examples = ["<%= config.bin %> <%= command.id %> table.csv"];
    static override args = { file: Args.string({ description: "Table file.", required: true }) };

    async run(): Promise<{ rows: number; }> {
        const { args } = await this.parse(TableCheck);
        const rows = safeReadTableFile(args.file);
        if (rows.err) {
            return this.exitWithIssues(exitCodes.invalidInput, rows.val);
        }
        this.log(`${args.file} has ${rows.val.length} rows and no issues.`);
        return { rows: rows.val.length };
    }
}
