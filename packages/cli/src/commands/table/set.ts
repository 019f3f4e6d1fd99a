/** `damaskvale table set`. */
import { type EditsResponse, issue, issuesFromZod, type Row, rowSchema } from "@damaskvale/core";
import { Args, Flags } from "@oclif/core";
import { randomUUID } from "node:crypto";
import { exitCodes } from "../../exitcodes.js";
import { parseChange } from "../../rowchange.js";
import { TableCommand, waitFlag } from "../../tablecommand.js";

/** Changes columns of one row. */
export default class TableSet extends TableCommand {
    static override summary = "Changes columns of one row, or creates or deletes the row.";
    static override examples = [
        "<%= config.bin %> <%= command.id %> team:registry requestsPerSecond=20 --wait",
        "<%= config.bin %> <%= command.id %> target:pta-a-h1 state=draining",
        "<%= config.bin %> <%= command.id %> rule:old --delete",
    ];
    static override strict = false;
    static override args = {
        key: Args.string({ description: "Key of the row, KIND:NAME, followed by COLUMN=VALUE.", required: true }),
    };
    static override flags = {
        ...waitFlag,
        delete: Flags.boolean({ description: "Deletes the row.", default: false }),
        revision: Flags.integer({
            description: "Revision that the edit is based on; by default the one in force.",
            min: 0,
        }),
    };

    async run(): Promise<EditsResponse> {
        const { argv, args, flags } = await this.parse(TableSet);
        const { rows } = await this.readTable(flags);
        const inForce = rows.find(({ key }) => key === args.key);
        const base = { id: randomUUID(), key: args.key, baseRevision: flags.revision ?? inForce?.revision ?? 0 };
        const row = flags.delete
            ? undefined
            : this.changedRow(args.key, inForce?.row ?? {}, (argv as string[]).slice(1));
        return this.sendEdits(flags, [row === undefined ? base : { ...base, row }], flags.wait);
    }

    private changedRow(key: string, row: object, changes: readonly string[]): Row {
        const malformed = changes.filter(change => !/^\w+=/.test(change));
        if (malformed.length > 0 || changes.length === 0) {
            const text = changes.length === 0
                ? "at least one COLUMN=VALUE is required"
                : "is not of the form COLUMN=VALUE";
            return this.exitWithIssues(exitCodes.invalidInput, [issue("malformed_change", malformed, text)]);
        }
        const [kind, name] = [key.slice(0, key.indexOf(":")), key.slice(key.indexOf(":") + 1)];
        const parsed = rowSchema.safeParse({ ...row, kind, name, ...Object.fromEntries(changes.map(parseChange)) });
        return parsed.success ? parsed.data : this.exitWithIssues(exitCodes.invalidInput, issuesFromZod(parsed.error));
    }
}
