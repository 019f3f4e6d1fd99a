/** The request path: decodes, admits and hands each request to the relay of its kind. */
import { admitRoute, type AdmittedRoute, pickService } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "../ports/relayprotocol.js";
import { type DenialReason, writeDenial, writeRefusal } from "./answers.js";
import { readBody } from "./body.js";
import type { RelayParts, RequestContext } from "./context.js";
import { relayPlain } from "./plainrelay.js";
import { relayStream, type StreamRelay } from "./streamrelay.js";

/** The request path of the daemon. */
export interface Relay {
    /** Handles one request; resolves when it was handed on, not when it is answered. */
    handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Requests that are not answered yet. */
    inProgress(): number;
    /** Moves streams away from a head that makes no progress. */
    moveStreams(head: string): void;
}

/** Wait of a caller while this daemon knows no configuration. */
const NO_CONFIGURATION_RETRY_MILLISECONDS = 500;
/** Colon and space after a name, or the end of a line after a value. */
const HEADER_SEPARATOR_BYTES = 2;
/** Deadline of a request that states none and whose route states none. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** Makes the request path. */
export function createRelay(parts: RelayParts): Relay {
    const streams = new Set<StreamRelay>();
    let inProgress = 0;

    const run = (context: RequestContext): void => {
        const engine = context.lookup.findService(context.service)?.engine;
        if (engine !== undefined && context.request.model !== undefined) {
            const stream = relayStream(context, parts, () => {
                inProgress -= 1;
                streams.delete(stream);
            });
            streams.add(stream);
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
            writeRefusal(response, "no-configuration", NO_CONFIGURATION_RETRY_MILLISECONDS);
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
        const deadlineAt = receivedAt + allowedMilliseconds(request.deadlineMilliseconds, admitted);
        run({ request, body, response, lookup, admitted, service, receivedAt, deadlineAt });
    };

    return {
        inProgress: () => inProgress,
        moveStreams: head => [...streams].filter(stream => stream.head() === head).forEach(stream => stream.moveAway()),
        handle: async (message, response) => {
            const receivedAt = parts.clock.monotonic();
            const { protocol, state } = parts;
            const { method = "GET", url = "/", headers, rawHeaders } = message;
            const request = protocol.decodeRequest(method, url, headers, rawHeaders);
            const limits = state.lookup()?.configuration.limits;
            if (limits !== undefined && bytesOf(rawHeaders) > limits.headerBytes) {
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

function bytesOf(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, 0);
}

function allowedMilliseconds(deadline: number | undefined, { route }: AdmittedRoute): number {
    const stated = [deadline, route.timeoutMilliseconds].filter(value => value !== undefined && value > 0) as number[];
    return stated.length === 0 ? DEFAULT_DEADLINE_MILLISECONDS : Math.min(...stated);
}
