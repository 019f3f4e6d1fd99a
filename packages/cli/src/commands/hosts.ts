/** `damaskvale hosts`. */
import { hostsResponseSchema, type HostStatus } from "@damaskvale/core";
import { ControlCommand } from "../base.js";
import { renderTable } from "../render.js";

/** Shows the target hosts as the daemons know them. */
export default class Hosts extends ControlCommand {
    static override summary =
        "Shows the target hosts in the data centres of the given daemons: listing, table state, group and report.";
    static override examples = ["<%= config.bin %> <%= command.id %> --daemon http://127.0.0.1:8080"];

    async run(): Promise<{ hosts: HostStatus[]; }> {
        const { flags } = await this.parse(Hosts);
        const answers = await this.callAll(flags, {
            method: "GET",
            path: "/control/v1/hosts",
            schema: hostsResponseSchema,
        });
        const hosts = [...new Map(answers.flatMap(answer => answer.hosts).map(host => [host.host, host])).values()];
        this.log(renderTable(
            ["HOST", "DATA CENTRE", "FABRIC DOMAIN", "LISTED", "TABLE", "GROUP", "REPORTED", "AGE MS"],
            hosts.map(host => [
                host.host,
                host.dataCentre,
                host.fabricDomain,
                host.listed,
                host.tableState,
                host.group,
                host.reported,
                host.reportAgeMilliseconds === undefined ? undefined : Math.round(host.reportAgeMilliseconds),
            ]),
        ));
        return { hosts };
    }
}
