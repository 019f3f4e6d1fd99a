/** Delivery of one response. Ensures that the caller gets exactly one final response. */
import type { BufferedResponse, CallerError, ResponseSink } from "./types.js";

/** Delivery of one response. Calls after the final one have no effect. */
export interface Delivery {
    /** Whether a stream event has been sent to the caller. */
    streamStarted(): boolean;
    finished(): boolean;
    chunk(data: string): Promise<void> | undefined;
    respond(response: BufferedResponse): void;
    done(): void;
    fail(error: CallerError): void;
}

/** Creates the delivery to one sink. */
export function createDelivery(sink: ResponseSink): Delivery {
    const state = { started: false, finished: false };
    const finishOnce = (action: () => void): void => {
        if (!state.finished) {
            state.finished = true;
            try {
                action();
            }
            catch (error) {
                // Node throws on invalid headers, which a target may send. The caller must still get a response.
                const message = `The answer cannot be passed on: ${(error as Error).message}.`;
                sink.fail({ code: "internal_error", message });
            }
        }
    };
    return {
        streamStarted: () => state.started,
        finished: () => state.finished,
        chunk: data => {
            if (state.finished) {
                return undefined;
            }
            state.started = true;
            return sink.chunk(data);
        },
        respond: response => finishOnce(() => sink.respond(response)),
        done: () => finishOnce(() => sink.done()),
        fail: error =>
            finishOnce(() =>
                sink.fail(state.started ? { ...error, code: "stream_incomplete", outcome: "unknown" } : error)
            ),
    };
}
