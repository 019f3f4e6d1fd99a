/** Metrics of the admission by priority, derived from the log events. */
import { Counter, Histogram, type Registry } from "prom-client";
import type { EventName } from "../events.js";
import type { EventFields } from "../ports/eventlog.js";

/** Requests wait for at most an eighth of their objective, which is 31 to 125 ms in the ticketing deployment. */
const QUEUE_BUCKETS_MILLISECONDS = [0, 5, 10, 20, 40, 80, 160, 320, 640];

/** Creates the metrics; returns what observes the events that concern them. */
export function createAdmissionMetrics(
    registers: Registry[],
): Partial<Record<EventName, (fields: EventFields) => void>> {
    const admissions = new Counter({
        name: "damaskvale_admissions_total",
        help: "First attempts at services whose routes state different priorities, by decision and priority.",
        labelNames: ["decision", "priority"],
        registers,
    });
    const queued = new Histogram({
        name: "damaskvale_admission_queue_milliseconds",
        help: "Time for which first attempts waited for their admission.",
        buckets: QUEUE_BUCKETS_MILLISECONDS,
        registers,
    });
    const record = (decision: string, { priority, queuedMilliseconds }: EventFields): void => {
        admissions.inc({ decision, priority: String(priority) });
        queued.observe(Number(queuedMilliseconds));
    };
    return {
        streamSent: fields => {
            const { attempt, queuedMilliseconds } = fields;
            if (attempt === 1 && typeof queuedMilliseconds === "number") {
                record(queuedMilliseconds > 0 ? "queue" : "serve", fields);
            }
        },
        requestShed: fields => record("refuse", fields),
    };
}
