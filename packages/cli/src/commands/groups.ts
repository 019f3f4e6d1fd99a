/** `damaskvale groups`. */
import { groupsResponseSchema, type GroupStatus } from "@damaskvale/core";
import { ControlCommand } from "../base.js";
import { renderTable } from "../render.js";

/** Shows the replica groups as the daemons know them. */
export default class Groups extends ControlCommand {
    static override summary =
        "Shows the replica groups in the data centres of the given daemons, and why a group gets no requests.";
    static override examples = ["<%= config.bin %> <%= command.id %>"];

    async run(): Promise<{ groups: GroupStatus[]; }> {
        const { flags } = await this.parse(Groups);
        const answers = await this.callAll(flags, {
            method: "GET",
            path: "/control/v1/groups",
            schema: groupsResponseSchema,
        });
        const groups = [
            ...new Map(answers.flatMap(answer => answer.groups).map(group => [group.group, group])).values(),
        ];
        this.log(renderTable(
            ["GROUP", "MODEL", "VERSION", "FENCE", "HOLDER", "SERVING", "MEMBERS"],
            groups.map(group => [
                group.group,
                group.model,
                group.version,
                group.fence,
                group.holder,
                group.dispatchable ? "yes" : `no: ${group.reason ?? "unknown"}`,
                group.members.join(" "),
            ]),
        ));
        return { groups };
    }
}
