/** Request path: decodes and admits each request and dispatches it to the relay for its kind. */
import { admitRoute, type AdmittedRoute, pickService } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "../ports/relayprotocol.js";
import { readBody } from "./body.js";
import { relayPlain } from "./plainrelay.js";
import type { RelayParts, RequestContext } from "./requestcontext.js";
import { type DenialReason, writeDenial, writeRefusal } from "./responses.js";
import { createStreamRelay, type StreamRelay } from "./streamrelay.js";

/** The request path of the daemon. */
export interface Relay {
    /** Handles one request; resolves once it is dispatched, not when its response ends. */
    handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Number of requests whose response has not ended. */
    inProgress(): number;
    /** Moves streams away from a head that makes no progress. */
    moveStreams(head: string): void;
    /** Cancels the streams that wait for their first event and have a quarantined part. */
    cancelWaiting(part: string): void;
}

/** `Retry-After` while this daemon has no configuration. */
const NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS = 500;
/** Colon and space after a name, or the end of a line after a value. */
const HEADER_SEPARATOR_BYTES = 2;
/** Timeout of a request if neither the caller nor the route sets one. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** Creates the request path. */
export function createRelay(parts: RelayParts): Relay {
    const streams = new Set<StreamRelay>();
    let inProgress = 0;

    const startRelay = (context: RequestContext): void => {
        const engine = context.lookup.findService(context.service)?.engine;
        if (engine !== undefined && context.request.model !== undefined) {
            const stream = createStreamRelay(context, parts, () => {
                inProgress -= 1;
                streams.delete(stream);
            });
            streams.add(stream);
            stream.start();
            return;
        }
        relayPlain(context, parts, () => {
            inProgress -= 1;
        });
    };

    const deny = (response: ServerResponse, reason: DenialReason, fields: Readonly<Record<string, unknown>>): void => {
        parts.log.emit("requestDenied", { ...fields, reason });
        writeDenial(response, reason);
    };

    const admit = (request: CallerRequest, body: Buffer, response: ServerResponse, receivedAt: number): void => {
        const lookup = parts.state.lookup();
        if (lookup === undefined) {
            parts.log.emit("requestDenied", { requestId: request.id, reason: "no-configuration" });
            writeRefusal(response, "no-configuration", NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS);
            return;
        }
        const admitted = admitRoute(lookup, request);
        if (typeof admitted === "string") {
            const configurationVersion = lookup.configuration.version;
            deny(response, admitted, { requestId: request.id, configurationVersion });
            return;
        }
        inProgress += 1;
        const service = pickService(admitted.route, parts.random()) ?? "";
        const deadlineAt = receivedAt + timeoutMillisecondsOf(request.deadlineMilliseconds, admitted);
        startRelay({ request, body, response, lookup, admitted, service, receivedAt, deadlineAt });
    };

    return {
        inProgress: () => inProgress,
        moveStreams: head =>
            [...streams].filter(stream => stream.head() === head).forEach(stream => stream.moveToAnotherGroup()),
        cancelWaiting: part => [...streams].forEach(stream => stream.cancelIfWaiting(part)),
        handle: async (message, response) => {
            const receivedAt = parts.clock.monotonic();
            const { protocol, state } = parts;
            const { method = "GET", url = "/", headers, rawHeaders } = message;
            const request = protocol.decodeRequest(method, url, headers, rawHeaders);
            const limits = state.lookup()?.configuration.limits;
            if (limits !== undefined && headerBytesOf(rawHeaders) > limits.headerBytes) {
                deny(response, "header-too-large", { requestId: request.id });
                return;
            }
            const read = await readBody(message, limits?.bodyBytes ?? Number.POSITIVE_INFINITY);
            if (read.kind === "too-large") {
                response.setHeader("Connection", "close");
                deny(response, "body-too-large", { requestId: request.id });
                return;
            }
            if (read.kind === "whole" && !response.destroyed) {
                admit(request, read.body, response, receivedAt);
            }
        },
    };
}

function headerBytesOf(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, 0);
}

function timeoutMillisecondsOf(deadline: number | undefined, { route }: AdmittedRoute): number {
    const timeouts = [deadline, route.timeoutMilliseconds].filter(value =>
        value !== undefined && value > 0
    ) as number[];
    return timeouts.length === 0 ? DEFAULT_DEADLINE_MILLISECONDS : Math.min(...timeouts);
}
