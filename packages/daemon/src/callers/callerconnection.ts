/** What the modules that serve a caller's connection know of it: the account of the daemon, by socket. */
import type { ReservationResult } from "@damaskvale/core";
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** Connection of a caller as the reader of bodies uses it. */
export interface CallerConnection {
    /** Reserves the memory of a body, which is released with the response to its request. */
    reserveBody(message: IncomingMessage, bytes: number): ReservationResult;
    /** States that bytes of the body arrived. */
    recordBody(message: IncomingMessage, bytes: number): void;
    /** Releases the memory of a body that is not kept, and states why. */
    releaseBody(message: IncomingMessage, reason: string): void;
    /** States that a body is whole with so many bytes, so that a target may run its request. */
    completeBody(message: IncomingMessage, bytes: number): void;
    /** Calls back when a body that had to wait should be reserved again, or must give up its memory. */
    onDecision(message: IncomingMessage, decide: (decision: "retry" | "give-up") => void): void;
    /** Whether the body of a message waits for room. */
    setWaiting(message: IncomingMessage, isWaiting: boolean): void;
}

const connections = new WeakMap<Socket, CallerConnection>();

/** Makes a connection known to the modules that serve it. */
export function registerCallerConnection(socket: Socket, connection: CallerConnection): void {
    connections.set(socket, connection);
}

/** Returns the connection of a socket, if the account covers it. */
export function callerConnectionOf(socket: Socket): CallerConnection | undefined {
    return connections.get(socket);
}
