/** `damaskvale table export`. */
import { formatTable, type RevisedRow } from "@damaskvale/core";
import { Flags } from "@oclif/core";
import { writeFileSync } from "node:fs";
import { TableCommand } from "../../tablecommand.js";

/** Writes the table in force as CSV. */
export default class TableExport extends TableCommand {
    static override summary =
        "Writes the table in force as CSV that opens in a spreadsheet, with the revision of each row.";
    static override examples = ["<%= config.bin %> <%= command.id %> --file table.csv"];
    static override flags = { file: Flags.string({ description: "File to write; by default standard output." }) };

    async run(): Promise<{ rows: RevisedRow[]; }> {
        const { flags } = await this.parse(TableExport);
        const { rows } = await this.readTable(flags);
        const text = formatTable(rows);
        if (flags.file === undefined) {
            this.log(text.trimEnd());
        }
        else {
            writeFileSync(flags.file, text);
            this.log(`Wrote ${rows.length} rows to ${flags.file}.`);
        }
        return { rows };
    }
}
