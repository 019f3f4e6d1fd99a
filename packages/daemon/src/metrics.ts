/** Catalogue of metrics. `docs/metrics.md` is generated from it. */

/** Definition of one metric. */
export interface MetricDefinition {
    readonly type: "counter" | "gauge" | "timing";
    readonly unit: string;
    readonly tags: readonly string[];
    readonly meaning: string;
}

const counter = (meaning: string, tags: readonly string[] = []): MetricDefinition => ({
    type: "counter",
    unit: "count",
    tags,
    meaning,
});
const timing = (meaning: string, tags: readonly string[] = []): MetricDefinition => ({
    type: "timing",
    unit: "ms",
    tags,
    meaning,
});
const gauge = (unit: string, meaning: string, tags: readonly string[] = []): MetricDefinition => ({
    type: "gauge",
    unit,
    tags,
    meaning,
});

/** All metrics, by the name that is sent after the prefix `damaskvale.`. */
export const metrics = {
    "requests": counter("Requests answered, by outcome and error code.", ["route", "outcome", "code"]),
    "request.duration": timing("Time from the first byte of a request to the last byte of its answer.", ["route"]),
    "request.first_token": timing("Time from a request to the first token of its answer.", ["model"]),
    "requests.in_progress": gauge("requests", "Requests in progress at this daemon."),
    "stream.entries": counter("Entries folded, by what became of them.", ["stream", "kind"]),
    "stream.offset": gauge("entries", "Next offset of a stream.", ["stream"]),
    "claims.results": counter("Claims answered, by kind of answer.", ["kind"]),
} as const satisfies Record<string, MetricDefinition>;

/** Name of a metric. */
export type MetricName = keyof typeof metrics;
