/** Metrics and log events about targets that send foreign data or go silent. */
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";

/** What the clients of engines and services tell about their targets. */
export interface TargetFaultReporter {
    onForeignData(url: string, attemptId: string): void;
    onSilence(url: string, lost: "connection" | "target"): void;
}

/** Makes reports that go to the metrics and the log. */
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
