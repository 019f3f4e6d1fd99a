/** Base class of the commands that read or change the table. */
import {
    type EditRequest,
    type EditsResponse,
    editsResponseSchema,
    type TableResponse,
    tableResponseSchema,
} from "@damaskvale/core";
import { Flags } from "@oclif/core";
import { type ConnectionFlags, ControlCommand } from "./base.js";
import { type ExitCode, exitCodes } from "./exitcodes.js";

/** Flags of the commands that change the table. */
export const waitFlag = {
    wait: Flags.boolean({
        description: "Waits until the change is in force on every live daemon.",
        default: false,
    }),
};

/** Command that reads or changes the table. */
export abstract class TableCommand extends ControlCommand {
    /** Reads the table in force. */
    protected readTable(flags: ConnectionFlags): Promise<TableResponse> {
        return this.call(flags, { method: "GET", path: "/control/v1/table", schema: tableResponseSchema });
    }

    /** Sends edits, prints the result of each, and sets the exit code. */
    protected async sendEdits(
        flags: ConnectionFlags,
        edits: readonly EditRequest[],
        wait: boolean,
    ): Promise<EditsResponse> {
        if (edits.length === 0) {
            this.log("Nothing to change.");
            return { results: [], inForceOn: [], missing: [] };
        }
        const response = await this.call(flags, {
            method: "POST",
            path: "/control/v1/table/edits",
            body: { edits, wait: wait ? "everywhere" : "accepted" },
            schema: editsResponseSchema,
        });
        response.results.forEach(({ key, result, revision, issue }) => {
            const detail = issue === undefined ? `revision ${revision ?? "-"}` : issue.message;
            this.log(`${key}: ${result}: ${detail}`);
        });
        if (wait) {
            this.log(
                `In force on ${response.inForceOn.length} daemons${
                    response.missing.length === 0 ? "." : `; not yet on ${response.missing.join(", ")}.`
                }`,
            );
        }
        process.exitCode = exitCodeOf(response);
        return response;
    }
}

function exitCodeOf({ results, missing }: EditsResponse): ExitCode {
    if (results.some(({ issue }) => issue?.code === "edit_conflict")) {
        return exitCodes.editConflict;
    }
    const incomplete = results.some(({ result }) => result !== "accepted") || missing.length > 0;
    return incomplete ? exitCodes.failure : exitCodes.done;
}
