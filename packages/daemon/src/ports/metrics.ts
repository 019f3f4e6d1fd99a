/** Port to the metrics. Names come from the catalogue in `metrics.ts`. */
import type { MetricName } from "../metrics.js";

/** Tags of one sample. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receiver of metrics. */
export interface Metrics {
    increment(name: MetricName, count?: number, tags?: MetricTags): void;
    gauge(name: MetricName, value: number, tags?: MetricTags): void;
    /** Duration in milliseconds. */
    timing(name: MetricName, milliseconds: number, tags?: MetricTags): void;
}
