/** Handles the requests of each connection one after the other, and bounds how many of them wait. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Handles a request that arrived some time ago. */
export type RequestHandler = (message: IncomingMessage, response: ServerResponse, waitedMilliseconds: number) => void;

/** Pipelined request that waits for the response before it. */
interface WaitingRequest {
    readonly message: IncomingMessage;
    readonly response: ServerResponse;
    /** Monotonic milliseconds. */
    readonly arrivedAt: number;
}

/** Requests of one connection. */
interface Pipeline {
    /** Response of the request that is being handled. */
    current: ServerResponse;
    readonly waiting: WaitingRequest[];
    /** Bytes that were read on the connection when its first waiting request arrived. */
    bytesBefore: number;
}

/** Number of waiting requests from which a connection is not read. */
export const MAXIMUM_WAITING_REQUESTS = 16;
/** Bytes of waiting requests from which a connection is not read. */
export const MAXIMUM_WAITING_BYTES = 65_536;

/**
 * Returns a listener for requests that delays a pipelined request until the response before it has ended, and drops the
 * request if that response closed the connection: it must not be run, because its response could not be sent. Node gives
 * the close event of a connection only to its first response, so that a later one would not learn that its caller left.
 *
 * A connection with many waiting requests is not read until they have been handled, so that they are bounded by the limit
 * and what one read returns. A caller that leaves meanwhile is noticed when its next response is written.
 */
export function inOrder(handle: RequestHandler): (message: IncomingMessage, response: ServerResponse) => void {
    const pipelines = new WeakMap<Socket, Pipeline>();
    return (message, response) => {
        const { socket } = message;
        const pipeline = pipelines.get(socket);
        if (pipeline === undefined) {
            const first: Pipeline = { current: response, waiting: [], bytesBefore: 0 };
            pipelines.set(socket, first);
            // Node resumes a socket for the body of a request, and when a slow caller has read a response.
            socket.on("resume", () => pauseIfFull(socket, first));
            handle(message, response, 0);
            return;
        }
        if (pipeline.current.closed) {
            pipeline.current = response;
            handle(message, response, 0);
            return;
        }
        if (pipeline.waiting.length === 0) {
            pipeline.bytesBefore = socket.bytesRead;
            pipeline.current.once("close", () => handleNext(socket, pipeline, handle));
        }
        pipeline.waiting.push({ message, response, arrivedAt: performance.now() });
        pauseIfFull(socket, pipeline);
    };
}

function handleNext(socket: Socket, pipeline: Pipeline, handle: RequestHandler): void {
    const next = pipeline.waiting.shift();
    if (next === undefined || !socket.writable) {
        pipeline.waiting.length = 0;
        return;
    }
    pipeline.current = next.response;
    if (pipeline.waiting.length > 0) {
        next.response.once("close", () => handleNext(socket, pipeline, handle));
    }
    else {
        socket.resume();
    }
    handle(next.message, next.response, performance.now() - next.arrivedAt);
}

function pauseIfFull(socket: Socket, { waiting, bytesBefore }: Pipeline): void {
    const isFull = waiting.length >= MAXIMUM_WAITING_REQUESTS
        || waiting.length > 0 && socket.bytesRead - bytesBefore >= MAXIMUM_WAITING_BYTES;
    if (isFull) {
        socket.pause();
        // Node's server stops reading at this event, which a socket that was paused before it resumed does not emit again.
        socket.emit("pause");
    }
}
