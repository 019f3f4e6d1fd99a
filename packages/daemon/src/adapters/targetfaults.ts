/** Reports targets that send data of another attempt or go silent, as metrics and log events. */
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";

/** Callbacks of the engine and service clients for faults of their targets. */
export interface TargetFaultReporter {
    onForeignData(url: string, attemptId: string): void;
    onSilence(url: string, lost: "connection" | "target"): void;
}

/** Creates a reporter that writes to the metrics and the log. */
export function createTargetFaultReporter(metrics: Metrics, log: EventLog): TargetFaultReporter {
    return {
        onForeignData: (url, attemptId) => {
            metrics.increment("attempts.foreign_data");
            log.emit("foreignData", { url, attemptId });
        },
        onSilence: (url, lost) => {
            metrics.increment("connections.silent", 1, { lost });
            log.emit(lost === "connection" ? "connectionLost" : "targetLost", { url });
        },
    };
}
