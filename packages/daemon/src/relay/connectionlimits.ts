/** Closes connections of callers that stay idle for longer than was stated to their caller, or whose request head is slow. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { holdsInput } from "../callers/inputpacing.js";
import { MAXIMUM_TIMER_MILLISECONDS } from "./timers.js";

/** Applies the limits of the configuration to the connections of a server. */
export interface ConnectionLimits {
    setIdleTimeout(milliseconds: number): void;
    /** Sets the time within which a head must arrive; 0 is no limit. */
    setHeaderTimeout(milliseconds: number): void;
    /**
     * Accepts the connections that wait for it, as they would be reset if the server was closed. Ends at a monotonic time,
     * even if further connections keep arriving.
     */
    acceptWaiting(until: number): Promise<void>;
    /** Closes the connections whose responses have all been sent and on which no request is on its way. */
    closeIdle(): void;
    /** Closes at once the connections on which no request is on its way, also those that never had one. */
    closeUnused(): void;
    /** Whether the first bytes of a request have been read whose head is not complete. */
    hasPartialRequest(): boolean;
}

/** Head of a request that has not been read to its end. */
interface PartialHead {
    /** Running time at which the head began. */
    readonly since: number;
    /** Header timeout that was set at that time. */
    readonly timeoutMilliseconds: number;
}

/** Connection of a caller. Times are monotonic milliseconds. */
interface Connection {
    readonly socket: Socket;
    openResponses: number;
    /** Number of requests whose body has not been read to its end; it may end after the response. */
    openBodies: number;
    /** How long the connection is kept while it is idle. */
    idleMilliseconds: number;
    idleSince: number;
    /** Bytes that belong to requests that have been read. */
    bytesRead: number;
    /** The head that is on its way. On a new connection, the time counts from its start. */
    head?: PartialHead;
}

const SWEEP_MILLISECONDS = 250;
/** A longer time between two sweeps is a pause of the process, of which only this much counts. */
const LONGEST_STEP_MILLISECONDS = 2 * SWEEP_MILLISECONDS;
/** Callers reuse a connection for the whole time that was stated to them, and the last request takes time to arrive. */
const IDLE_GRACE_MILLISECONDS = 1_000;
/** Node's backlog of connections that are not accepted yet. */
const MAXIMUM_WAITING_CONNECTIONS = 511;
/** Longest delay of a timer, less what Node adds to it. */
const MAXIMUM_IDLE_MILLISECONDS = MAXIMUM_TIMER_MILLISECONDS - 1_000;

/**
 * Watches the connections of a server that does not listen yet. Replaces two checks of Node. Its idle timer uses the
 * timeout that is set when a response ends, although the head of that response stated an earlier one. Its check
 * of heads counts time in which the process did not run, and applies a lower timeout to heads that have begun.
 */
export function limitConnections(server: Server): ConnectionLimits {
    return new ConnectionLimitsTask(server);
}

class ConnectionLimitsTask implements ConnectionLimits {
    private readonly connections = new Map<Socket, Connection>();
    /** Number of connections that have been accepted. */
    private accepted = 0;
    private headerMilliseconds = 0;
    /** Time in which the process ran until the last sweep. */
    private runningMilliseconds = 0;
    private lastSweepAt = performance.now();
    /** Set while there are connections. */
    private timer: NodeJS.Timeout | undefined;

    constructor(private readonly server: Server) {
        server.headersTimeout = 0;
        server.on("connection", (socket: Socket) => this.accept(socket));
        server.on("request", (message: IncomingMessage, response: ServerResponse) => this.track(message, response));
        // With a listener, Node does not destroy the connection itself when its idle timer ends.
        server.on("timeout", () => undefined);
    }

    setIdleTimeout(milliseconds: number): void {
        this.server.keepAliveTimeout = Math.min(Math.max(0, milliseconds), MAXIMUM_IDLE_MILLISECONDS);
    }

    setHeaderTimeout(milliseconds: number): void {
        this.connections.forEach(connection => this.observe(connection));
        this.headerMilliseconds = milliseconds;
    }

    /**
     * After a pause of the process, timers run before connections that arrived meanwhile are accepted. Each turn of the event
     * loop accepts one of them.
     */
    async acceptWaiting(until: number): Promise<void> {
        const most = this.accepted + MAXIMUM_WAITING_CONNECTIONS;
        let before: number;
        do {
            before = this.accepted;
            await new Promise(resolve => setImmediate(resolve));
        }
        while (this.accepted > before && before < most && performance.now() < until);
    }

    closeIdle(): void {
        // Bytes that wait unread are read before an immediate runs.
        setImmediate(() => [...this.connections.values()].filter(isIdle).forEach(({ socket }) => socket.destroy()));
    }

    closeUnused(): void {
        [...this.connections.values()]
            .filter(isUnused)
            .forEach(({ socket }) => socket.destroy());
    }

    hasPartialRequest(): boolean {
        return [...this.connections.values()].some(connection => hasNoRequest(connection) && isPartial(connection));
    }

    private accept(socket: Socket): void {
        this.accepted += 1;
        if (this.timer === undefined) {
            this.lastSweepAt = performance.now();
            this.timer = setInterval(() => this.sweep(), SWEEP_MILLISECONDS).unref();
        }
        this.connections.set(socket, {
            socket,
            openResponses: 0,
            openBodies: 0,
            idleMilliseconds: 0,
            idleSince: performance.now(),
            bytesRead: 0,
            head: this.beginHead(),
        });
        socket.once("close", () => this.forget(socket));
    }

    private forget(socket: Socket): void {
        this.connections.delete(socket);
        if (this.connections.size === 0) {
            clearInterval(this.timer);
            this.timer = undefined;
        }
    }

    private track(message: IncomingMessage, response: ServerResponse): void {
        const { socket } = message;
        const connection = this.connections.get(socket);
        if (connection === undefined) {
            return;
        }
        const becomeIdle = (): void => {
            connection.idleSince = performance.now();
            connection.bytesRead = socket.bytesRead;
        };
        connection.head = undefined;
        connection.idleMilliseconds = this.server.keepAliveTimeout;
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

    private sweep(): void {
        this.runningMilliseconds = this.runningTime();
        this.lastSweepAt = performance.now();
        const expired = [...this.connections.values()].filter(connection => this.isExpired(connection));
        if (expired.length > 0) {
            // After a pause of the process, timers run before bytes that arrived meanwhile are read. All of these are
            // read before an immediate runs.
            setImmediate(() =>
                expired.filter(connection => this.isExpired(connection)).forEach(({ socket }) => socket.destroy())
            );
        }
    }

    private isExpired(connection: Connection): boolean {
        if (connection.openResponses > 0) {
            return false;
        }
        this.observe(connection);
        const { head, idleSince, idleMilliseconds } = connection;
        if (head === undefined) {
            return performance.now() - idleSince > idleMilliseconds + IDLE_GRACE_MILLISECONDS;
        }
        const timeoutMilliseconds = Math.max(head.timeoutMilliseconds, this.headerMilliseconds);
        return this.headerMilliseconds > 0 && this.runningTime() - head.since > timeoutMilliseconds;
    }

    /** Takes notice of bytes that arrived on a connection without a request in progress. */
    private observe(connection: Connection): void {
        const { socket } = connection;
        if (connection.openResponses > 0 || socket.bytesRead === connection.bytesRead) {
            return;
        }
        if (connection.openBodies === 0) {
            connection.head ??= this.beginHead();
            return;
        }
        connection.bytesRead = socket.bytesRead;
        connection.idleSince = performance.now();
    }

    private beginHead(): PartialHead {
        return { since: this.runningTime(), timeoutMilliseconds: this.headerMilliseconds };
    }

    /** Returns the time in which the process ran, without pauses. */
    private runningTime(): number {
        return this.runningMilliseconds + Math.min(performance.now() - this.lastSweepAt, LONGEST_STEP_MILLISECONDS);
    }
}

function isIdle(connection: Connection): boolean {
    return isUnused(connection) && connection.bytesRead > 0;
}

function isUnused(connection: Connection): boolean {
    return hasNoRequest(connection) && !isPartial(connection);
}

/** A connection whose end has been sent waits for its caller to close it, and takes no request. */
function hasNoRequest({ socket, openResponses, openBodies }: Connection): boolean {
    return socket.writable && openResponses === 0 && openBodies === 0 && !holdsInput(socket);
}

/** Returns whether bytes have been read that belong to no request whose head is complete. */
function isPartial({ socket, bytesRead }: Connection): boolean {
    return socket.bytesRead > bytesRead;
}
