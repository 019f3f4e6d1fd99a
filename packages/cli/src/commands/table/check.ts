/** `damaskvale table check`. */
import { Args } from "@oclif/core";
import { exitCodes } from "../../exitcodes.js";
import { TableCommand } from "../../tablecommand.js";
import { safeReadTableFile } from "../../tablefile.js";

/** Checks a table file without a daemon. */
export default class TableCheck extends TableCommand {
    static override summary = "Checks a table file and reports all findings with file, row and column; asks no daemon.";
    static override examples = ["<%= config.bin %> <%= command.id %> table.csv"];
    static override args = { file: Args.string({ description: "Table file.", required: true }) };

    async run(): Promise<{ rows: number; }> {
        const { args } = await this.parse(TableCheck);
        const rows = safeReadTableFile(args.file);
        if (rows.err) {
            return this.stop(exitCodes.findings, rows.val);
        }
        this.log(`${args.file} has ${rows.val.length} rows and no findings.`);
        return { rows: rows.val.length };
    }
}
