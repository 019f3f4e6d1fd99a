/** Closes connections of callers that stay idle for longer than their caller was told. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** Applies the limits of the configuration to the connections of a server. */
export interface ConnectionLimits {
    setIdleTimeout(milliseconds: number): void;
}

/** Connection of a caller. Times are monotonic milliseconds. */
interface Connection {
    openResponses: number;
    /** Number of requests whose body has not been read to its end; it may end after the response. */
    openBodies: number;
    /** How long the connection is kept while it is idle; absent before the first request. */
    idleMilliseconds?: number;
    idleSince: number;
    /** Bytes that belong to requests that have been read. */
    bytesRead: number;
}

const SWEEP_MILLISECONDS = 250;
/** Callers reuse a connection for the whole time that they were told, and the last request takes time to arrive. */
const IDLE_GRACE_MILLISECONDS = 1_000;
/** Longest delay that Node's timers accept, less what Node adds to it. */
const MAXIMUM_IDLE_MILLISECONDS = 2_147_483_647 - 1_000;

/**
 * Watches the connections of a server that does not listen yet. Replaces Node's idle timer, which uses the timeout that
 * is set when a response ends, although the head of that response told the caller an earlier one.
 */
export function limitConnections(server: Server): ConnectionLimits {
    const connections = new Map<Socket, Connection>();
    server.on("connection", (socket: Socket) => {
        connections.set(socket, { openResponses: 0, openBodies: 0, idleSince: performance.now(), bytesRead: 0 });
        socket.once("close", () => connections.delete(socket));
    });
    server.on("request", (message: IncomingMessage, response: ServerResponse) => {
        const connection = connections.get(message.socket);
        if (connection !== undefined) {
            connection.idleMilliseconds = server.keepAliveTimeout;
            trackRequest(connection, message, response);
        }
    });
    // With a listener, Node does not destroy the connection itself when its idle timer ends.
    server.on("timeout", () => undefined);
    const closeExpired = (): void => {
        const expired = [...connections].filter(isExpired);
        if (expired.length > 0) {
            // After a pause of the process, timers run before bytes that arrived meanwhile are read. All of these are
            // read before an immediate runs.
            setImmediate(() => expired.filter(isExpired).forEach(([socket]) => socket.destroy()));
        }
    };
    setInterval(closeExpired, SWEEP_MILLISECONDS).unref();
    return {
        setIdleTimeout: milliseconds => {
            server.keepAliveTimeout = Math.min(Math.max(0, milliseconds), MAXIMUM_IDLE_MILLISECONDS);
        },
    };
}

function trackRequest(connection: Connection, message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    const becomeIdle = (): void => {
        connection.idleSince = performance.now();
        connection.bytesRead = socket.bytesRead;
    };
    connection.openResponses += 1;
    connection.openBodies += 1;
    response.once("close", () => {
        connection.openResponses -= 1;
        becomeIdle();
    });
    message.once("close", () => {
        connection.openBodies -= 1;
        becomeIdle();
    });
}

function isExpired([socket, connection]: readonly [Socket, Connection]): boolean {
    const { openResponses, openBodies, idleMilliseconds } = connection;
    if (idleMilliseconds === undefined || openResponses > 0) {
        return false;
    }
    const now = performance.now();
    if (openBodies > 0 && socket.bytesRead > connection.bytesRead) {
        connection.bytesRead = socket.bytesRead;
        connection.idleSince = now;
    }
    return socket.bytesRead === connection.bytesRead
        && now - connection.idleSince > idleMilliseconds + IDLE_GRACE_MILLISECONDS;
}
