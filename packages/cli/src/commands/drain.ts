/** `damaskvale drain`. */
import { type EditsResponse, rowKey, targetRowSchema } from "@damaskvale/core";
import { Args, Flags } from "@oclif/core";
import { randomUUID } from "node:crypto";
import { TableCommand, waitFlag } from "../tablecommand.js";

/** Marks a host or service as draining in the table. */
export default class Drain extends TableCommand {
    static override summary = "Marks a target as draining, so that it gets no new work; --undo makes it active again.";
    static override examples = [
        "<%= config.bin %> <%= command.id %> pta-a-h1 --wait",
        "<%= config.bin %> <%= command.id %> pta-a-h1 --undo",
    ];
    static override args = { host: Args.string({ description: "Name of the target.", required: true }) };
    static override flags = {
        ...waitFlag,
        undo: Flags.boolean({ description: "Makes the target active again.", default: false }),
    };

    async run(): Promise<EditsResponse> {
        const { args, flags } = await this.parse(Drain);
        const { rows } = await this.readTable(flags);
        const key = rowKey({ kind: "target", name: args.host });
        const inForce = rows.find(row => row.key === key);
        const state = flags.undo ? "active" : "draining";
        const row = targetRowSchema.parse({ ...inForce?.row, kind: "target", name: args.host, state });
        const edit = { id: randomUUID(), key, baseRevision: inForce?.revision ?? 0, row };
        return this.sendEdits(flags, [edit], flags.wait);
    }
}
