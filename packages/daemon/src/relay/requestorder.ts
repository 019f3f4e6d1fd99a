/** Handles the requests of each connection one after the other. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Handles a request that arrived some time ago. */
export type RequestHandler = (message: IncomingMessage, response: ServerResponse, waitedMilliseconds: number) => void;

/**
 * Returns a listener for requests that delays a pipelined request until the response before it has ended, and drops the
 * request if that response ended the connection: it must not be run, because its response could not be sent. Node gives
 * the close event of a connection only to its first response, so that a later one would not learn that its caller left.
 */
export function inOrder(handle: RequestHandler): (message: IncomingMessage, response: ServerResponse) => void {
    const latest = new WeakMap<Socket, ServerResponse>();
    return (message, response) => {
        const { socket } = message;
        if (!socket.writable) {
            message.resume();
            return;
        }
        const previous = latest.get(socket);
        latest.set(socket, response);
        if (previous === undefined || previous.closed) {
            handle(message, response, 0);
            return;
        }
        const arrivedAt = performance.now();
        previous.once("close", () => {
            if (socket.writable) {
                handle(message, response, performance.now() - arrivedAt);
            }
        });
    };
}
