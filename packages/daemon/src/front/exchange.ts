/** One request of a caller and its response, as the handlers of the front see them. */
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

/** Options of the front. */
export interface FrontEndOptions extends BodyLimits {
    /** Name of this daemon; request ids start with it. */
    readonly daemon: string;
    /** Unique per process start. */
    readonly incarnation: string;
    /** Address for callers, `IP:PORT`; port 0 takes a free one. */
    readonly listen: string;
    readonly headerTimeoutMilliseconds: number;
    /** Secret with which other daemons forward requests. */
    readonly peerSecret: string;
    readonly dispatcher: Dispatcher;
    readonly table: Published<TableView>;
    /** Whether the daemon has what it needs to serve; `/readyz` says so. */
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
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly query: string;
    readonly receivedAt: number;
    readonly span: Span;
    readonly headers: RequestHeaders;
    /** Daemon that forwarded the request, and the team that it vouches for. */
    readonly forwarded?: { readonly daemon: string; readonly team: string; };
}

/** State of the front that its parts share. */
export interface FrontEndState {
    draining: boolean;
    /** Handler of the paths under `/control/`. */
    control?: RequestListener;
}

/** Handler of a route. Resolves when the response is finished. */
export type RouteHandler = (exchange: Exchange) => Promise<void> | void;
