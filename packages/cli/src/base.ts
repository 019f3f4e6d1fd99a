/** Base class of all commands: common flags, calls to the daemons, and exit codes. */
import { formatIssues, type Issue } from "@damaskvale/core";
import { Command, Flags } from "@oclif/core";
import type { z } from "zod";
import { callControl, type ControlCall, type ControlFailure } from "./client.js";
import { type ExitCode, exitCodes } from "./exitcodes.js";

/** Flags for the connection: the daemons to call and the operator's token. */
export interface ConnectionFlags {
    /** Base URLs, separated by commas. */
    readonly daemon: string;
    readonly token: string;
}

const CALL_TIMEOUT_MILLISECONDS = 20_000;

/** Command that calls the daemons. */
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

    /** Calls the operators' interface. On a failure, prints the issues and exits. */
    protected async call<Schema extends z.ZodType>(
        flags: ConnectionFlags,
        call: ControlCall<Schema>,
    ): Promise<z.infer<Schema>> {
        const result = await callControl(
            {
                daemons: parseDaemons(flags),
                token: flags.token,
                timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
            },
            call,
        );
        if (result.ok) {
            return result.val;
        }
        return this.exitWithIssues(exitCodeOf(result.val), result.val.issues);
    }

    /**
     * Calls every daemon, because a daemon knows only the hosts and groups of its own data centre. Failed calls are
     * ignored, unless all of them fail.
     */
    protected async callAll<Schema extends z.ZodType>(
        flags: ConnectionFlags,
        call: ControlCall<Schema>,
    ): Promise<z.infer<Schema>[]> {
        const results = await Promise.all(
            parseDaemons(flags).map(daemon =>
                callControl(
                    { daemons: [daemon], token: flags.token, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS },
                    call,
                )
            ),
        );
        const answers = results.flatMap(result => result.ok ? [result.val] : []);
        const failures = results.flatMap(result => result.err ? [result.val] : []);
        const [first] = failures;
        return answers.length > 0 || first === undefined
            ? answers
            : this.exitWithIssues(exitCodeOf(first), failures.flatMap(({ issues }) => issues));
    }

    /** Prints all issues and exits. */
    protected exitWithIssues(exit: ExitCode, issues: readonly Issue[]): never {
        if (this.jsonEnabled()) {
            this.logJson({ exit, issues });
            return this.exit(exit);
        }
        this.logToStderr(formatIssues(issues));
        return this.exit(exit);
    }
}

function parseDaemons({ daemon }: ConnectionFlags): string[] {
    return daemon.split(",").map(url => url.trim()).filter(url => url !== "");
}

function exitCodeOf(failure: ControlFailure): ExitCode {
    const codes: Record<ControlFailure["kind"], ExitCode> = {
        unreachable: exitCodes.unreachable,
        refused: failure.status === 400 ? exitCodes.invalidInput : exitCodes.failure,
    };
    return codes[failure.kind];
}
