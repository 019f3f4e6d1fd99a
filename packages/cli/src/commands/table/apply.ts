/** `damaskvale table apply`. */
import { type EditsResponse, formatTable } from "@damaskvale/core";
import { Args, Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { exitCodes } from "../../exitcodes.js";
import { TableCommand, waitFlag } from "../../tablecommand.js";
import { planEdits, safeReadTableFile } from "../../tablefile.js";

/** Applies a table file to the table in force, row by row. */
export default class TableApply extends TableCommand {
    static override summary =
        "Applies a table file. Each row is applied atomically, if its base revision is still in force.";
    static override description =
        "A row whose base revision is no longer in force is rejected, naming who changed it; exit code 3. Without "
        + "--current, the base revision is the one in the file (empty means that the row must not exist yet).";
    static override examples = [
        "<%= config.bin %> <%= command.id %> table.csv --wait",
        "<%= config.bin %> <%= command.id %> table.csv --current --prune",
        "<%= config.bin %> <%= command.id %> table.csv --update",
    ];
    static override args = { file: Args.string({ description: "Table file.", required: true }) };
    static override flags = {
        ...waitFlag,
        prune: Flags.boolean({ description: "Deletes rows that are not in the file.", default: false }),
        current: Flags.boolean({
            description: "Bases all edits on the current revisions of the rows.",
            default: false,
        }),
        update: Flags.boolean({ description: "Writes the new revisions into the file.", default: false }),
    };

    async run(): Promise<EditsResponse> {
        const { args, flags } = await this.parse(TableApply);
        const file = safeReadTableFile(args.file);
        if (file.err) {
            return this.exitWithIssues(exitCodes.invalidInput, file.val);
        }
        const { rows } = await this.readTable(flags);
        const answer = await this.sendEdits(flags, planEdits(rows, file.val, flags), flags.wait);
        if (flags.update) {
            const inForce = new Map((await this.readTable(flags)).rows.map(({ key, revision }) => [key, revision]));
            const updated = file.val.map(({ key, row, revision }) => ({ row, revision: inForce.get(key) ?? revision }));
            writeFileSync(args.file, formatTable(updated));
        }
        return answer;
    }
}
