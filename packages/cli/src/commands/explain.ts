/** `damaskvale explain`. */
import { Args, Flags } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { z } from "zod";
import { ControlCommand } from "../base.js";
import { exitCodes } from "../exitcodes.js";
import { findRequestLines, type LogLine, parseLogLines, renderLogLine } from "../requestlog.js";

/** Shows the targets considered, the limits applied and the attempts made for one request. */
export default class Explain extends ControlCommand {
    static override summary =
        "Shows the targets that were considered, the limits that applied and the attempts made for one request.";
    static override examples = [
        "<%= config.bin %> <%= command.id %> pta-hall-a-1.k3x9.42",
        "<%= config.bin %> <%= command.id %> 9c41d07be2a35f68 --logs edge-1.jsonl --logs edge-2.jsonl",
        "cat *.jsonl | <%= config.bin %> <%= command.id %> 9c41d07be2a35f68 --logs -",
    ];
    static override args = {
        request: Args.string({ description: "Id of the request.", required: true }),
    };
    static override flags = {
        logs: Flags.string({
            description:
                "Log file of a daemon to read instead of calling a daemon; - is standard input. May be repeated.",
            multiple: true,
        }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(Explain);
        if (flags.logs !== undefined) {
            return this.explainFromLogs(args.request, flags.logs);
        }
        const path = `/control/v1/requests/${encodeURIComponent(args.request)}`;
        const explanation = await this.call(flags, { method: "GET", path, schema: z.unknown() });
        this.log(JSON.stringify(explanation, undefined, 2));
        return explanation;
    }

    private async explainFromLogs(request: string, files: readonly string[]): Promise<readonly LogLine[]> {
        const logs = await Promise.all(files.map(file => file === "-" ? text(process.stdin) : readFile(file, "utf8")));
        const lines = findRequestLines(logs.flatMap(parseLogLines), request);
        if (lines.length === 0) {
            const message = `the logs contain no line about request ${request}`;
            this.exitWithIssues(exitCodes.invalidInput, [{ code: "unknown_request", path: ["request"], message }]);
        }
        lines.forEach(line => this.log(renderLogLine(line)));
        return lines;
    }
}
