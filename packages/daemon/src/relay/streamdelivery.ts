/** Passes the events of a stream on to its caller: in order, each once, whatever the number of attempts. */
import type { ServerResponse } from "node:http";
import { joinBytes } from "../growingbuffer.js";
import type { StreamEvent } from "./eventsplitter.js";
import { exceedsUnstatedLength, writePaced, writeResponseHead } from "./responses.js";
import type { StreamAttempt } from "./streamattempt.js";

/** What the caller of a stream has received. */
export class StreamDelivery {
    /** `lastEventId` is the id of the last event that the caller has, if it resumes a stream. */
    constructor(private readonly response: ServerResponse, public lastEventId: number | undefined) {}

    /**
     * Writes the head of a response unless the caller has one. It waits for the first bytes of the body, which would be
     * sent together with it anyway, so that a failure before them can still be answered with a status.
     */
    open({ opening }: StreamAttempt): void {
        if (!this.response.headersSent && opening !== undefined) {
            writeResponseHead(this.response, opening.head, opening.headers);
        }
    }

    /** Passes an error of the target on unchanged; returns whether its body is not too long. */
    passThrough(attempt: StreamAttempt, chunk: Buffer): boolean {
        attempt.passedThroughBytes += chunk.length;
        if (exceedsUnstatedLength(attempt.opening?.head, attempt.passedThroughBytes)) {
            return false;
        }
        this.open(attempt);
        writePaced(this.response, chunk, attempt.exchange);
        return true;
    }

    /** Passes those events on that the caller does not have. Returns false if an earlier one is missing. */
    deliver(attempt: StreamAttempt, events: readonly StreamEvent[]): boolean {
        const delivered: Buffer[] = [];
        const inOrder = events.every(event => this.accept(event, delivered));
        if (delivered.length > 0) {
            this.open(attempt);
            // Thousands of tiny events may arrive together, and a write costs far more than an event.
            writePaced(this.response, joinBytes(delivered), attempt.exchange);
        }
        return inOrder;
    }

    /** Adds an event to those for the caller unless it has it already. Returns false if an earlier event is missing. */
    private accept({ id, bytes }: StreamEvent, delivered: Buffer[]): boolean {
        const last = this.lastEventId ?? 0;
        if (id !== undefined && id <= last) {
            return true;
        }
        if (id !== undefined && id > last + 1) {
            return false;
        }
        this.lastEventId = id ?? this.lastEventId;
        delivered.push(bytes);
        return true;
    }
}
