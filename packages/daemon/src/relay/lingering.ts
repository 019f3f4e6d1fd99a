/** Ends responses and connections without a reset, which could take a response away from a caller that still sends. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { startTimer } from "./timers.js";

/** Time for which a caller may go on sending. */
const LONGEST_MILLISECONDS = 2_000;
const MOST_BYTES = 16_777_216;

/**
 * Sends the rest of a response, and ends it once the rest of the request has been read, or after a bounded time and number
 * of bytes. A connection that is closed with unread bytes is reset, which can take the response away from its caller.
 */
export function endAfterRequest(response: ServerResponse, text: string): void {
    const { req: message } = response;
    if (message.complete) {
        response.end(text);
        return;
    }
    response.write(text);
    const { socket } = message;
    const bytesBefore = socket.bytesRead;
    const end = (): void => {
        clearTimeout(timer);
        message.off("close", end);
        message.off("data", endIfTooLong);
        response.end();
    };
    const endIfTooLong = (): void => {
        if (socket.bytesRead - bytesBefore > MOST_BYTES) {
            end();
        }
    };
    const timer = setTimeout(end, LONGEST_MILLISECONDS);
    message.on("close", end);
    message.on("data", endIfTooLong);
}

/**
 * Sends the end of a connection, and reads on until the caller has closed its side, for a bounded time. The operating system
 * resets a connection that is closed while bytes are still arriving.
 */
export function closeAfterCaller(socket: Socket): void {
    const timer = startTimer(() => socket.destroy(), LONGEST_MILLISECONDS).unref();
    socket.once("close", () => clearTimeout(timer));
    socket.end();
    socket.resume();
}
