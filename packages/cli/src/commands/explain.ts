/** `damaskvale explain`. */
import { Args } from "@oclif/core";
import { z } from "zod";
import { ControlCommand } from "../base.js";

/** Shows what was weighed, limited and tried for one request. */
export default class Explain extends ControlCommand {
    static override summary =
        "Shows for one request which targets were weighed, which limits applied and what was tried.";
    static override examples = ["<%= config.bin %> <%= command.id %> pta-hall-a-1.k3x9.42"];
    static override args = {
        request: Args.string({ description: "Value of x-damaskvale-request-id.", required: true }),
    };

    async run(): Promise<unknown> {
        const { args, flags } = await this.parse(Explain);
        const path = `/control/v1/requests/${encodeURIComponent(args.request)}`;
        const explanation = await this.call(flags, { method: "GET", path, schema: z.unknown() });
        this.log(JSON.stringify(explanation, undefined, 2));
        return explanation;
    }
}
