/** One request of a caller and its response, as the route handlers get them. */
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { Dispatcher } from "../dispatch/dispatcher.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { TableView } from "../ports/tableview.js";
import type { Span, Tracer } from "../ports/tracer.js";
import type { Published } from "../tasks/published.js";
import type { BodyLimits } from "./body.js";
import type { RequestHeaders } from "./headers.js";

/** Options of the front end. */
export interface FrontEndOptions extends BodyLimits {
    /** Name of this daemon, which request ids start with. */
    readonly daemon: string;
    /** Unique per process start. */
    readonly incarnation: string;
    /** Address for callers, `IP:PORT`. Port 0 selects a free port. */
    readonly listen: string;
    readonly headerTimeoutMilliseconds: number;
    /** Secret that other daemons authenticate with when they forward requests. */
    readonly peerSecret: string;
    readonly dispatcher: Dispatcher;
    readonly table: Published<TableView>;
    /** Whether the daemon is ready to serve requests, as `/readyz` reports it. */
    readonly ready: () => boolean;
    readonly clock: Clock;
    readonly tracer: Tracer;
    readonly metrics: Metrics;
    readonly log: EventLog;
}

/** Request and response of a caller. */
export interface Exchange {
    readonly options: FrontEndOptions;
    readonly requestId: string;
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    /** Path without the query, as the caller sent it. */
    readonly path: string;
    /** Query with its question mark, or an empty string. */
    readonly query: string;
    /** Monotonic time in milliseconds. */
    readonly receivedAt: number;
    readonly span: Span;
    readonly headers: RequestHeaders;
    /** Daemon that forwarded the request, and the team that it has authenticated. */
    readonly forwarded?: { readonly daemon: string; readonly team: string; };
}

/** State that the modules of the front end share. */
export interface FrontEndState {
    draining: boolean;
    /** Handler of the paths under `/control/`. */
    control?: RequestListener;
}

/** Handler of a route. Resolves when the response is finished. */
export type RouteHandler = (exchange: Exchange) => Promise<void> | void;
