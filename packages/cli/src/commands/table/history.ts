/** `damaskvale table history`. */
import { type HistoryResponse, historyResponseSchema } from "@damaskvale/core";
import { Args } from "@oclif/core";
import { renderTable } from "../../render.js";
import { TableCommand } from "../../tablecommand.js";

/** Shows the edits that the log retains. */
export default class TableHistory extends TableCommand {
    static override summary = "Shows the edits that the platform's log retains, with their authors and results.";
    static override examples = [
        "<%= config.bin %> <%= command.id %>",
        "<%= config.bin %> <%= command.id %> team:registry",
    ];
    static override args = { key: Args.string({ description: "Key of a row, KIND:NAME. All rows if absent." }) };

    async run(): Promise<HistoryResponse> {
        const { args, flags } = await this.parse(TableHistory);
        const path = "/control/v1/table/history";
        const history = await this.call(flags, { method: "GET", path, schema: historyResponseSchema });
        const entries = history.entries.filter(({ key }) => args.key === undefined || key === args.key);
        this.log(renderTable(
            ["OFFSET", "TIME", "KEY", "CHANGE", "RESULT", "OPERATOR", "DAEMON"],
            entries.map(({ offset, time, key, change, result, operator, author }) => [
                offset,
                new Date(time).toISOString(),
                key,
                change,
                result,
                operator,
                author,
            ]),
        ));
        return { ...history, entries };
    }
}
