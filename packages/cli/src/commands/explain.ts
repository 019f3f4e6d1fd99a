/** `damaskvale explain`. */
import { Args, Flags } from "@oclif/core";
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { z } from "zod";
import { ControlCommand } from "../base.js";
import { exitCodes } from "../exitcodes.js";
import { type LogLine, parseLogLines, renderLogLine, storyOf } from "../logstory.js";

/** Shows what was weighed, limited and tried for one request. */
export default class Explain extends ControlCommand {
    static override summary =
        "Shows for one request which targets were weighed, which limits applied and what was tried.";
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
            description: "Log file of a daemon to read in place of asking one; - is standard input. May be repeated.",
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
        const story = storyOf(logs.flatMap(parseLogLines), request);
        if (story.length === 0) {
            const message = `no line of the logs names ${request}`;
            this.stop(exitCodes.findings, [{ code: "unknown_request", path: ["request"], message }]);
        }
        story.forEach(line => this.log(renderLogLine(line)));
        return story;
    }
}
