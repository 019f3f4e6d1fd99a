/** Port to the metrics. Their names are defined in `metrics.ts`. */
import type { MetricName } from "../metrics.js";

/** Tags of one sample. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sink for metrics. */
export interface Metrics {
    increment(name: MetricName, count?: number, tags?: MetricTags): void;
    gauge(name: MetricName, value: number, tags?: MetricTags): void;
    /** Duration in milliseconds. */
    timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
}
