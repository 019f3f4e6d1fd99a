/** `damaskvale status`. */
import { type StatusResponse, statusResponseSchema } from "@damaskvale/core";
import { ControlCommand } from "../base.js";
import { renderTable } from "../render.js";

/** Shows each daemon with its data centre, the configuration offset in force and what it cannot reach. */
export default class Status extends ControlCommand {
    static override summary = "Shows each daemon with its data centre, the offset in force and what it cannot reach.";
    static override examples = ["<%= config.bin %> <%= command.id %>", "<%= config.bin %> <%= command.id %> --json"];

    async run(): Promise<StatusResponse> {
        const { flags } = await this.parse(Status);
        const status = await this.call(flags, {
            method: "GET",
            path: "/control/v1/status",
            schema: statusResponseSchema,
        });
        this.log(renderTable(
            ["DAEMON", "DATA CENTRE", "STATE", "OFFSET", "REQUESTS", "CANNOT REACH"],
            status.daemons.map(daemon => [
                daemon.daemon,
                daemon.dataCentre,
                daemon.state,
                daemon.configurationOffset,
                daemon.requestsInProgress,
                daemon.cannotReach.join(", ") || "-",
            ]),
        ));
        status.unreachable.forEach(daemon => this.log(`${daemon} did not respond.`));
        return status;
    }
}
