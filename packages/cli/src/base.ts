/** Base of all commands: common flags, calls to the daemons, and exit codes. */
import { formatIssues, type Issue } from "@damaskvale/core";
import { Command, Flags } from "@oclif/core";
import type { z } from "zod";
import { callControl, type ControlCall, type ControlFailure } from "./client.js";
import { type ExitCode, exitCodes } from "./exitcodes.js";

/** Which daemons to ask, and the operator's token. */
export interface ConnectionFlags {
    /** Base URLs, separated by commas. */
    readonly daemon: string;
    readonly token: string;
}

const TIMEOUT_MILLISECONDS = 20_000;

/** Command that talks to the daemons. */
export abstract class ControlCommand extends Command {
    static override enableJsonFlag = true;

    static override baseFlags = {
        daemon: Flags.string({
            description: "Base URL of a daemon; several, separated by commas, are tried in turn.",
            env: "DAMASKVALE_DAEMON",
            default: "http://127.0.0.1:8080",
        }),
        token: Flags.string({ description: "Operator token.", env: "DAMASKVALE_OPERATOR_TOKEN", default: "" }),
    };

    /** Calls the operators' interface, or reports the failure and exits. */
    protected async call<Schema extends z.ZodType>(
        flags: ConnectionFlags,
        call: ControlCall<Schema>,
    ): Promise<z.infer<Schema>> {
        const result = await callControl(
            {
                daemons: flags.daemon.split(",").map(url => url.trim()),
                token: flags.token,
                timeoutMilliseconds: TIMEOUT_MILLISECONDS,
            },
            call,
        );
        if (result.ok) {
            return result.val;
        }
        return this.stop(exitCodeOf(result.val), result.val.issues);
    }

    /** Reports findings together and exits. */
    protected stop(exit: ExitCode, issues: readonly Issue[]): never {
        if (this.jsonEnabled()) {
            this.logJson({ exit, issues });
            return this.exit(exit);
        }
        this.logToStderr(formatIssues(issues));
        return this.exit(exit);
    }
}

function exitCodeOf(failure: ControlFailure): ExitCode {
    const codes: Record<ControlFailure["kind"], ExitCode> = {
        unreachable: exitCodes.unreachable,
        refused: failure.status === 400 ? exitCodes.findings : exitCodes.failure,
    };
    return codes[failure.kind];
}
