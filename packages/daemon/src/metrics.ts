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

/** All metrics, keyed by name. Names are sent with the prefix `damaskvale.`. */
export const metrics = {
    "requests": counter("Requests answered, by outcome and error code.", ["route", "outcome", "code"]),
    "request.duration": timing("Time from the first byte of a request to the last byte of its answer.", ["route"]),
    "request.first_token": timing("Time from a request to the first token of its answer.", ["model"]),
    "attempts": counter("Attempts sent to targets, by kind of work and result.", ["route", "result"]),
    "attempts.foreign_data": counter("Answers or stream events dropped because they belong to another attempt."),
    "connections.silent": counter("Connections to targets that went silent, by what was lost.", ["lost"]),
    "requests.forwarded": counter("Requests forwarded to a daemon of another data centre.", ["model"]),
    "requests.in_progress": gauge("requests", "Requests in progress at this daemon."),
    "stream.entries": counter("Entries folded, by what became of them.", ["stream", "kind"]),
    "stream.offset": gauge("entries", "Next offset of a stream.", ["stream"]),
    "claims.results": counter("Claims answered, by kind of answer.", ["kind"]),
    "groups.actions": counter("Records of the groups stream by their decision.", ["kind", "decision"]),
    "groups.dispatchable": gauge("groups", "Replica groups that may be dispatched to."),
    "groups.known": gauge("groups", "Replica groups in the state of the groups stream."),
    "groups.orders": counter("Orders to engines by result.", ["order", "result"]),
    "hosts.free": gauge("hosts", "Hosts that report and belong to no group."),
    "hosts.listed": gauge("hosts", "Hosts of the data centre in the platform's list."),
    "hosts.list_age": gauge("ms", "Age of the newest list of hosts that was read."),
    "hosts.reports": counter("Polls of engine reports by result.", ["result"]),
    "members": gauge("daemons", "Known daemons by state.", ["state"]),
    "peers.links": gauge("links", "Open links to other daemons."),
    "peers.messages_refused": counter("Messages of other daemons that did not parse.", ["reason"]),
    "peers.refused": counter("Connections to the peer address that were refused.", ["reason"]),
} as const satisfies Record<string, MetricDefinition>;

/** Name of a metric. */
export type MetricName = keyof typeof metrics;
