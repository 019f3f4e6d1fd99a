/** Prometheus metrics of the daemon on a platform, derived from its log events. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { EventName } from "../events.js";
import { listenOn } from "../front/server.js";
import type { EventFields, EventLog } from "../ports/eventlog.js";
import { createAdmissionMetrics } from "../shedding/admissionmetrics.js";

/** Values of the gauges, read when the metrics are collected. */
export interface GaugeSources {
    /** Requests whose response has not ended. */
    readonly requestsInProgress: () => number;
    /** Log lines dropped because the reader was too slow. */
    readonly linesDropped: () => number;
    /** Version of the configuration in force, 0 if there is none. */
    readonly configurationVersion: () => number;
    /** Groups that may get requests. */
    readonly servingGroups: () => number;
    /** Targets that limit their request rate. */
    readonly limitedTargets: () => number;
    /** Targets that want no requests from this daemon for a time. */
    readonly restingTargets: () => number;
    /** Responses of targets with a statement that could not be read, since the start. */
    readonly unreadableStatements: () => number;
    /** Targets whose streams take longer than their work should. */
    readonly slowTargets: () => number;
    /** Plain targets that fail a part of their requests. */
    readonly failingTargets: () => number;
    /** Prompt parts whose requests are refused. */
    readonly quarantinedParts: () => number;
    /** Targets that are cold. */
    readonly coldTargets: () => number;
    /** Data centres whose targets get no requests. */
    readonly evacuatedDataCentres: () => number;
    /** Bytes that are held for callers. */
    readonly callerBytes: () => number;
    /** Connections of callers, of other daemons and of readers of the metrics. */
    readonly callerConnections: () => number;
    /** Era of the platform's store, 0 while no answer has stated one. */
    readonly storeEra: () => number;
    /** Answers of the store whose statement of the era was missing, lower or unreadable. */
    readonly storeErasIgnored: () => number;
}

/** Responds to a request of an operator; returns whether it did. */
export type OperatorHandler = (request: IncomingMessage, response: ServerResponse) => boolean;

/** Metrics of one daemon. */
export interface DaemonMetrics {
    /** Event log that counts each event before it forwards it. */
    readonly log: EventLog;
    /** Serves the metrics at `IP:PORT` under every path that `handle` does not respond to; `protect` limits its callers. */
    serve(listen: string, handle?: OperatorHandler, protect?: (server: Server) => void): Promise<Server>;
    /** Returns the metrics in the Prometheus text format. */
    text(): Promise<string>;
}

const DURATION_BUCKETS_MILLISECONDS = [10, 25, 50, 100, 200, 400, 800, 1_500, 3_000, 6_000, 12_000];

/** Creates the metrics; events reach `log` through the `log` of the result. */
export function createDaemonMetrics(log: EventLog, values: GaugeSources): DaemonMetrics {
    const registry = new Registry();
    const registers = [registry];
    const count = (name: string, help: string, labelNames: readonly string[] = []): Counter =>
        new Counter({ name, help, labelNames, registers });
    const events = count("damaskvale_events_total", "Log events by name.", ["event"]);
    const requests = count("damaskvale_requests_total", "Requests that ended, by outcome.", ["outcome"]);
    const orders = count("damaskvale_orders_total", "Orders to engines, by kind and result.", ["kind", "result"]);
    const staleMemberships = count(
        "damaskvale_stale_memberships_total",
        "Entries earlier than what an engine stated, by the source of its statement.",
        ["source"],
    );
    const eraChanges = count(
        "damaskvale_store_era_changes_total",
        "Times that the platform's store came back from an older copy.",
    );
    const limitedCallers = count(
        "damaskvale_callers_limited_total",
        "Callers that were refused, closed or held back, by measure.",
        ["measure"],
    );
    const duration = histogram("damaskvale_request_milliseconds", "Time from a request to its end.", registers);
    const firstEvent = histogram("damaskvale_first_event_milliseconds", "Time to the first event.", registers);
    addGauges(values, registers);

    const render = createRendering(registry);

    const observe: Partial<Record<EventName, (fields: EventFields) => void>> = {
        requestEnded: fields => {
            requests.inc({ outcome: String(fields["outcome"]) });
            duration.observe(Number(fields["milliseconds"]));
            if (typeof fields["firstEventMilliseconds"] === "number") {
                firstEvent.observe(fields["firstEventMilliseconds"]);
            }
        },
        ...createAdmissionMetrics(registers),
        requestDenied: fields => requests.inc({ outcome: String(fields["reason"]) }),
        callersLimited: fields => limitedCallers.inc({ measure: String(fields["measure"]) }, Number(fields["count"])),
        storeEraRose: () => eraChanges.inc(),
        engineOrdered: fields => orders.inc({ kind: String(fields["kind"]), result: String(fields["result"]) }),
        staleMembership: fields => staleMemberships.inc({ source: String(fields["knownFrom"]) }),
    };
    return {
        log: {
            emit: (name, fields = {}) => {
                events.inc({ event: name });
                observe[name]?.(fields);
                log.emit(name, fields);
            },
        },
        text: () => registry.metrics(),
        serve: async (listen, handle, protect) => {
            const server = createServer((request, response) => {
                if (handle?.(request, response) === true) {
                    return;
                }
                render()
                    .then(text => response.writeHead(200, { "Content-Type": registry.contentType }).end(text))
                    .catch((error: unknown) => {
                        log.emit("metricsFailed", { error });
                        response.writeHead(500).end();
                    });
            });
            protect?.(server);
            await listenOn(server, listen);
            return server;
        },
    };
}

/** Returns a function that renders the metrics. Requests that arrive together share one rendering, which takes milliseconds. */
function createRendering(registry: Registry): () => Promise<string> {
    let rendering: Promise<string> | undefined;
    return () =>
        rendering ??= new Promise(resolve => setImmediate(resolve)).then(() => {
            rendering = undefined;
            return registry.metrics();
        });
}

function histogram(name: string, help: string, registers: Registry[]): Histogram {
    return new Histogram({ name, help, buckets: DURATION_BUCKETS_MILLISECONDS, registers });
}

function addGauges(values: GaugeSources, registers: Registry[]): void {
    const gauges: readonly (readonly [string, string, () => number])[] = [
        ["damaskvale_requests_in_progress", "Requests that are not answered yet.", values.requestsInProgress],
        ["damaskvale_log_lines_dropped", "Log lines dropped for a slow reader.", values.linesDropped],
        ["damaskvale_configuration_version", "Configuration in force.", values.configurationVersion],
        ["damaskvale_serving_groups", "Groups that may get requests.", values.servingGroups],
        ["damaskvale_limited_targets", "Targets that limit their request rate.", values.limitedTargets],
        ["damaskvale_resting_targets", "Targets that want no requests for a time.", values.restingTargets],
        ["damaskvale_unreadable_statements", "Responses with an unreadable statement.", values.unreadableStatements],
        ["damaskvale_slow_targets", "Targets that are slower than their work should take.", values.slowTargets],
        ["damaskvale_failing_targets", "Targets that fail a part of their requests.", values.failingTargets],
        ["damaskvale_quarantined_parts", "Prompt parts whose requests are refused.", values.quarantinedParts],
        ["damaskvale_evacuated_data_centres", "Evacuated data centres.", values.evacuatedDataCentres],
        ["damaskvale_cold_targets", "Targets that are cold.", values.coldTargets],
        ["damaskvale_caller_bytes", "Memory that is held for callers, in bytes.", values.callerBytes],
        ["damaskvale_caller_connections", "Connections to the daemon's listeners.", values.callerConnections],
        ["damaskvale_store_era", "Era of the platform's store.", values.storeEra],
        ["damaskvale_store_eras_ignored", "Answers of the store that state no valid era.", values.storeErasIgnored],
    ];
    gauges.forEach(([name, help, read]) =>
        new Gauge({
            name,
            help,
            registers,
            collect() {
                this.set(read());
            },
        })
    );
}
