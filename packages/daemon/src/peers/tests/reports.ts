/** Reports of daemons for tests of the exchange. */
import type { ReportMessage } from "../exchangemessage.js";

/** Returns the report of a daemon that has requests in progress at the target `t`. */
export function reportOf(daemon: string, sequence: number, inProgress: number): ReportMessage {
    return {
        kind: "report",
        daemon,
        configurationVersion: 0,
        limits: [],
        leaving: [],
        startedAt: 1,
        sequence,
        takesRequests: true,
        loads: [["t", inProgress, 50]],
        speeds: [],
    };
}
