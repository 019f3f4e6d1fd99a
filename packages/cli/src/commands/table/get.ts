/** `damaskvale table get`. */
import type { RevisedRow } from "@damaskvale/core";
import { Args } from "@oclif/core";
import { TableCommand } from "../../tablecommand.js";

/** Shows rows of the table in force. */
export default class TableGet extends TableCommand {
    static override summary = "Shows rows of the table in force, with the revision that an edit is based on.";
    static override examples = [
        "<%= config.bin %> <%= command.id %>",
        "<%= config.bin %> <%= command.id %> team:registry --json",
    ];
    static override args = {
        key: Args.string({ description: "Key of a row, KIND:NAME, or only KIND. All rows if absent." }),
    };

    async run(): Promise<{ rows: RevisedRow[]; }> {
        const { args, flags } = await this.parse(TableGet);
        const { rows } = await this.readTable(flags);
        const wanted = rows.filter(({ key, row }) =>
            args.key === undefined || key === args.key || row.kind === args.key
        );
        wanted.forEach(({ key, revision, row }) => this.log(`${key} revision ${revision} ${JSON.stringify(row)}`));
        return { rows: wanted };
    }
}
