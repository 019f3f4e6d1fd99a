/** Request path: decodes and admits each request and dispatches it to the relay for its kind. */
import { admitRoute, type AdmittedRoute, pickService } from "@damaskvale/core";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerRequest } from "../ports/relayprotocol.js";
import { readWithinLimits, UNCONFIGURED_LIMITS } from "./body.js";
import { createHandOver, type HandOverPath } from "./handover.js";
import { endAfterRequest } from "./lingering.js";
import { createPlainRelay } from "./plainrelay.js";
import type { StoppableRelay } from "./relaytask.js";
import type { RelayParts, RequestContext } from "./requestcontext.js";
import { identifyRequest } from "./requestidentity.js";
import {
    type DenialReason,
    type EndOfResponse,
    writeDenial,
    writeInternalError,
    writeRefusal,
    writeShutdown,
} from "./responses.js";
import type { ShutdownTimes } from "./shutdown.js";
import { createStreamRelay, type StreamRelay } from "./streamrelay.js";

/** The request path of the daemon. */
export interface Relay {
    /**
     * Handles one request; resolves once it is dispatched, not when its response ends. `waitedMilliseconds` is the time
     * since it arrived.
     */
    handle(request: IncomingMessage, response: ServerResponse, waitedMilliseconds?: number): Promise<void>;
    /** Handles one request that another daemon handed over; it is not handed on. */
    handleFromDaemon(request: IncomingMessage, response: ServerResponse, waitedMilliseconds?: number): Promise<void>;
    /** Number of requests whose response has not ended. */
    inProgress(): number;
    /** Moves streams away from a head that makes no progress. */
    moveStreams(head: string): void;
    /** Cancels the streams that wait for their first event and have a quarantined subject. */
    cancelWaiting(subject: string): void;
    /** From the time on that a shutdown sets, refuses requests that may last longer than this daemon. */
    beginShutdown(times: ShutdownTimes): void;
    /** Ends all requests in progress because the daemon stops. */
    stop(): void;
}

/** `Retry-After` while this daemon has no configuration. */
const NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS = 500;
/** `Retry-After` of a request whose body there is no memory for; the callers that hold it are closed within a second or two. */
const OVERLOADED_RETRY_AFTER_MILLISECONDS = 2_000;
/** The remaining time is stated to targets in whole milliseconds. */
const LEAST_REMAINING_MILLISECONDS = 1;
/** Timeout of a request if neither the caller nor the route sets one. */
const DEFAULT_DEADLINE_MILLISECONDS = 30_000;

/** A request as it arrived. */
interface ArrivedRequest {
    readonly request: CallerRequest;
    readonly body: Buffer;
    readonly response: ServerResponse;
    readonly receivedAt: number;
    /** Whether it may be handed to another daemon. */
    readonly mayHandOver: boolean;
}

/** Monotonic times of a shutdown in progress. */
interface Shutdown {
    readonly refusesAt: number;
    readonly endsAt: number;
}

/** Creates the request path. Without a way to the other daemons, no request is handed over. */
export function createRelay(parts: RelayParts, handOverPath?: HandOverPath): Relay {
    return new RequestPath(parts, handOverPath);
}

class RequestPath implements Relay {
    private readonly streams = new Set<StreamRelay>();
    private readonly requests = new Set<StoppableRelay>();
    private shutdown: Shutdown | undefined;

    constructor(private readonly parts: RelayParts, private readonly handOverPath: HandOverPath | undefined) {}

    inProgress(): number {
        return this.requests.size;
    }

    moveStreams(head: string): void {
        [...this.streams].filter(stream => stream.head() === head)
            .forEach(stream => stream.guard(() => stream.moveToAnotherGroup()));
    }

    handle(message: IncomingMessage, response: ServerResponse, waitedMilliseconds = 0): Promise<void> {
        return this.receive(message, response, waitedMilliseconds, true);
    }

    handleFromDaemon(message: IncomingMessage, response: ServerResponse, waitedMilliseconds = 0): Promise<void> {
        return this.receive(message, response, waitedMilliseconds, false);
    }

    private async receive(
        message: IncomingMessage,
        response: ServerResponse,
        waitedMilliseconds: number,
        mayHandOver: boolean,
    ): Promise<void> {
        const receivedAt = this.parts.clock.monotonic() - waitedMilliseconds;
        const { method = "GET", url = "/", headers, rawHeaders } = message;
        let request: CallerRequest | undefined;
        try {
            request = this.parts.protocol.decodeRequest(method, url, headers, rawHeaders);
            // The limits are on what callers send; the daemon that hands a request over has applied them.
            const configured = mayHandOver ? this.parts.state.lookup()?.configuration.limits : undefined;
            const limits = configured ?? UNCONFIGURED_LIMITS[mayHandOver ? "caller" : "daemon"];
            const read = await readWithinLimits(message, limits);
            if (read.kind === "body-too-large" || read.kind === "overloaded") {
                response.setHeader("Connection", "close");
            }
            if (read.kind === "body-too-large" && limits === UNCONFIGURED_LIMITS.caller) {
                // A configuration may allow this body, so that it is not denied.
                this.refuseUnconfigured(response, request, text => endAfterRequest(response, text));
            }
            else if (read.kind === "overloaded") {
                const end: EndOfResponse = text => endAfterRequest(response, text);
                writeRefusal(response, "overloaded", OVERLOADED_RETRY_AFTER_MILLISECONDS, end);
            }
            else if (read.kind === "body-too-large" || read.kind === "header-too-large") {
                this.deny(response, read.kind, { requestId: request.id });
            }
            else if (read.kind === "whole" && !response.destroyed && !response.headersSent) {
                this.admit({ request, body: read.body, response, receivedAt, mayHandOver });
            }
        }
        catch (error) {
            // An admitted request handles its own errors, so that no target has run this one.
            this.parts.log.emit("requestFailed", { requestId: request?.id, error });
            writeInternalError(response, false);
        }
    }

    private admit({ request, body, response, receivedAt, mayHandOver }: ArrivedRequest): void {
        const lookup = this.parts.state.lookup();
        if (lookup === undefined) {
            this.refuseUnconfigured(response, request);
            return;
        }
        const admitted = admitRoute(lookup, request);
        if (typeof admitted === "string") {
            const configurationVersion = lookup.configuration.version;
            this.deny(response, admitted, { requestId: request.id, configurationVersion });
            return;
        }
        const deadlineAt = receivedAt + timeoutMillisecondsOf(request.deadlineMilliseconds, admitted);
        if (this.mayBeCutOff(deadlineAt)) {
            this.parts.log.emit("requestDenied", { requestId: request.id, reason: "shutdown" });
            writeShutdown(response, false);
            return;
        }
        const service = pickService(admitted.route, this.parts.random()) ?? "";
        if (deadlineAt - this.parts.clock.monotonic() < LEAST_REMAINING_MILLISECONDS) {
            this.parts.log.emit("requestDenied", { requestId: request.id, reason: "too-late" });
            writeRefusal(response, "too-late", 0);
            return;
        }
        const identity = identifyRequest({ request, team: admitted.team?.name, service, body });
        const subjects = [...request.promptParts, identity];
        const context: RequestContext = {
            ...{ request, body, response, lookup, admitted, service, subjects, receivedAt, deadlineAt },
            handOver: mayHaveRun => mayHandOver && this.handOver(context, mayHaveRun),
        };
        if (!this.parts.reachability.isCutOff() || !context.handOver(false)) {
            this.startRelay(context);
        }
    }

    beginShutdown({ refusesAfter, endsAfter }: ShutdownTimes): void {
        const now = this.parts.clock.monotonic();
        this.shutdown = { refusesAt: now + refusesAfter, endsAt: now + endsAfter };
    }

    /**
     * Returns whether this daemon may end before a request that it has just read, which another daemon could answer whole.
     * A daemon that callers are still sent to takes all requests, since most end long before their deadline, unless its grace
     * time is so short that it ends before callers are sent elsewhere.
     */
    private mayBeCutOff(deadlineAt: number): boolean {
        const { shutdown } = this;
        return shutdown !== undefined
            && this.parts.clock.monotonic() > shutdown.refusesAt
            && deadlineAt > shutdown.endsAt;
    }

    cancelWaiting(subject: string): void {
        [...this.streams].forEach(stream => stream.guard(() => stream.cancelIfWaiting(subject)));
    }

    stop(): void {
        [...this.requests].forEach(request => request.guard(() => request.stop()));
    }

    /** Hands a request to another daemon; returns whether there is one that takes it. */
    private handOver(context: RequestContext, mayHaveRun: boolean): boolean {
        if (this.handOverPath?.choose([]) === undefined) {
            return false;
        }
        const handOver = createHandOver(
            context,
            this.parts,
            { ...this.handOverPath, mayHaveRun },
            () => this.requests.delete(handOver),
        );
        this.requests.add(handOver);
        handOver.guard(() => handOver.start());
        return true;
    }

    private startRelay(context: RequestContext): void {
        const engine = context.lookup.findService(context.service)?.engine;
        if (engine !== undefined && context.request.model !== undefined) {
            const stream = createStreamRelay(context, this.parts, () => {
                this.requests.delete(stream);
                this.streams.delete(stream);
            });
            this.requests.add(stream);
            this.streams.add(stream);
            stream.guard(() => stream.start());
            return;
        }
        const plain = createPlainRelay(context, this.parts, () => this.requests.delete(plain));
        this.requests.add(plain);
        plain.guard(() => plain.start());
    }

    private refuseUnconfigured(response: ServerResponse, { id }: CallerRequest, end?: EndOfResponse): void {
        this.parts.log.emit("requestDenied", { requestId: id, reason: "no-configuration" });
        writeRefusal(response, "no-configuration", NO_CONFIGURATION_RETRY_AFTER_MILLISECONDS, end);
    }

    private deny(
        response: ServerResponse,
        reason: DenialReason,
        fields: Readonly<Record<string, unknown>>,
    ): void {
        this.parts.log.emit("requestDenied", { ...fields, reason });
        writeDenial(response, reason);
    }
}

function timeoutMillisecondsOf(deadline: number | undefined, { route }: AdmittedRoute): number {
    const timeouts = [deadline, route.timeoutMilliseconds].filter(value =>
        value !== undefined && value > 0
    ) as number[];
    return timeouts.length === 0 ? DEFAULT_DEADLINE_MILLISECONDS : Math.min(...timeouts);
}
