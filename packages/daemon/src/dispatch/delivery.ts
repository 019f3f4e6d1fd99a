/** Delivery of one answer: exactly one final answer, whatever the parts of the dispatcher do. */
import type { BufferedResponse, CallerError, ResponseSink } from "./types.js";

/** Delivery of one answer. Calls after the final one have no effect. */
export interface Delivery {
    /** Whether a stream has been started. */
    started(): boolean;
    finished(): boolean;
    chunk(data: string): Promise<void> | undefined;
    respond(answer: BufferedResponse): void;
    done(): void;
    fail(error: CallerError): void;
}

/** Makes the delivery to one sink. */
export function createDelivery(sink: ResponseSink): Delivery {
    const state = { started: false, finished: false };
    const finishWith = (action: () => void): void => {
        if (!state.finished) {
            state.finished = true;
            try {
                action();
            }
            catch (error) {
                // Node refuses headers that a target may send; the caller must not wait for ever because of one.
                const message = `The answer cannot be passed on: ${(error as Error).message}.`;
                sink.fail({ code: "internal_error", message });
            }
        }
    };
    return {
        started: () => state.started,
        finished: () => state.finished,
        chunk: data => {
            if (state.finished) {
                return undefined;
            }
            state.started = true;
            return sink.chunk(data);
        },
        respond: answer => finishWith(() => sink.respond(answer)),
        done: () => finishWith(() => sink.done()),
        fail: error =>
            finishWith(() =>
                sink.fail(state.started ? { ...error, code: "stream_incomplete", outcome: "unknown" } : error)
            ),
    };
}
