/** One HTTP exchange with a target as a sequence of events. Failures state whether the request was written. */
import type { Dispatcher } from "undici";
import type { TargetFailure } from "../ports/engine.js";
import { InvalidStatusError, isAboveStatusRange, isFinalStatus } from "../responsestatus.js";
import { createEventQueue } from "./eventqueue.js";
import type { TargetPools } from "./pools.js";

/** Request to send, and the limits of its exchange. */
export interface ExchangeRequest {
    readonly origin: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body?: Buffer | string;
    readonly signal: AbortSignal;
    /** Checked immediately before the first byte is written; `false` prevents the write. */
    readonly mayWrite?: () => boolean;
    /** Returns whether the consumer has received all it needs, so that only the end of the response is missing. */
    readonly isComplete?: () => boolean;
    /** Returns the longest wait for the next event, in milliseconds. Called before each wait. */
    readonly idleTimeoutMilliseconds: () => number;
}

/** Events of an exchange, in order. `quiet` reports an idle timeout; the consumer decides whether to keep waiting. */
export type ExchangeEvent =
    | { readonly kind: "head"; readonly status: number; readonly headers: Readonly<Record<string, string>>; }
    | { readonly kind: "data"; readonly data: Buffer; }
    | { readonly kind: "end"; }
    | { readonly kind: "quiet"; }
    | { readonly kind: "failure"; readonly failure: TargetFailure; };

/** Number of queued events above which the connection is paused (backpressure). */
const MAXIMUM_WAITING_EVENTS = 16;
/** Time for a complete response to end, so that its connection can be reused. */
const DRAIN_TIMEOUT_MILLISECONDS = 500;

/**
 * Runs one exchange. A request counts as written once undici hands it to a connected socket, because it cannot be
 * withdrawn after that. The request is never sent again. The idle timer runs only while the consumer waits, so that a
 * slow caller does not look like a silent target.
 */
export async function* exchange(pools: TargetPools, request: ExchangeRequest): AsyncGenerator<ExchangeEvent> {
    const queue = createEventQueue<ExchangeEvent>();
    const state = { written: false, stopped: false, ended: false };
    let controller: Dispatcher.DispatchController | undefined;

    const stop = (failure: TargetFailure): void => {
        queue.push({ kind: "failure", failure });
        state.stopped = true;
        controller?.abort(new Error(failure.message));
    };
    const onAbort = (): void =>
        stop({ kind: state.written ? "cancelled" : "not-sent", message: "the request was cancelled" });

    if (request.signal.aborted) {
        yield { kind: "failure", failure: { kind: "not-sent", message: "the request was cancelled" } };
        return;
    }
    request.signal.addEventListener("abort", onAbort, { once: true });
    try {
        start(pools, request, {
            onRequestStart: started => {
                controller = started;
                const allowed = !state.stopped && !request.signal.aborted && (request.mayWrite?.() ?? true);
                if (!allowed) {
                    started.abort(new Error("the request was no longer allowed when it was about to be written"));
                    return;
                }
                state.written = true;
            },
            onResponseStart: (from, status, headers) => {
                if (isAboveStatusRange(status)) {
                    stop({ kind: "broken", message: new InvalidStatusError(status).message });
                    return;
                }
                if (isFinalStatus(status)) {
                    queue.push({ kind: "head", status, headers: flatHeaders(headers) });
                    pauseWhenFull(from, queue.size());
                }
            },
            onResponseData: (from, data) => {
                queue.push({ kind: "data", data });
                pauseWhenFull(from, queue.size());
            },
            onResponseEnd: () => {
                state.ended = true;
                queue.push({ kind: "end" });
            },
            onResponseError: (...[, error]) => {
                const kind = state.written ? "broken" : "not-sent";
                queue.push({ kind: "failure", failure: { kind, message: error.message } });
            },
        });
        yield* consume(request, queue, state, () => controller?.paused === true && controller.resume());
    }
    finally {
        state.stopped = true;
        request.signal.removeEventListener("abort", onAbort);
        if (!state.ended) {
            release(controller, request);
        }
    }
}

/** Aborts a connection whose response is no longer needed, or lets a complete response end within the drain timeout. */
function release(controller: Dispatcher.DispatchController | undefined, request: ExchangeRequest): void {
    const abort = (): void => controller?.abort(new Error("the exchange is over"));
    if (request.isComplete?.() !== true || request.signal.aborted) {
        abort();
        return;
    }
    if (controller?.paused === true) {
        controller.resume();
    }
    setTimeout(abort, DRAIN_TIMEOUT_MILLISECONDS).unref();
}

async function* consume(
    request: ExchangeRequest,
    queue: ReturnType<typeof createEventQueue<ExchangeEvent>>,
    state: { readonly written: boolean; },
    resume: () => void,
): AsyncGenerator<ExchangeEvent> {
    for (;;) {
        if (queue.size() === 0) {
            resume();
        }
        const event = await queue.next(request.idleTimeoutMilliseconds());
        if (event === undefined) {
            if (!state.written) {
                yield { kind: "failure", failure: { kind: "not-sent", message: "no connection was made in time" } };
                return;
            }
            yield { kind: "quiet" };
            continue;
        }
        yield event;
        if (event.kind === "end" || event.kind === "failure") {
            return;
        }
    }
}

function start(pools: TargetPools, request: ExchangeRequest, handler: Dispatcher.DispatchHandler): void {
    pools.poolFor(request.origin).dispatch({
        path: request.path,
        method: request.method as Dispatcher.HttpMethod,
        headers: { ...request.headers },
        body: request.body,
        idempotent: false,
        headersTimeout: 0,
        bodyTimeout: 0,
    }, handler);
}

function pauseWhenFull(controller: Dispatcher.DispatchController, waiting: number): void {
    if (waiting > MAXIMUM_WAITING_EVENTS && !controller.paused) {
        controller.pause();
    }
}

function flatHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
    return Object.fromEntries(
        Object.entries(headers).flatMap(([name, value]) =>
            value === undefined
                ? []
                : [[name.toLowerCase(), Array.isArray(value) ? value.join(separatorOf(name)) : value]]
        ),
    );
}

/** Cookies can contain commas, so they are joined by a line feed, which no header value can contain. */
function separatorOf(name: string): string {
    return name.toLowerCase() === "set-cookie" ? "\n" : ", ";
}
