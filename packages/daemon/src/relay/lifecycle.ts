/** HTTP listeners of the daemon on a platform, its readiness check, and graceful shutdown. */
import { createServer, type Server } from "node:http";
import type { Socket } from "node:net";
import { listenOn } from "../front/server.js";
import type { EventLog } from "../ports/eventlog.js";
import { limitConnections } from "./connectionlimits.js";
import type { Relay } from "./relay.js";
import { inOrder } from "./requestorder.js";
import { writeInternalError } from "./responses.js";
import type { RelayState } from "./state.js";

/** Collaborators and addresses of the listeners. */
export interface ListenerParts {
    readonly log: EventLog;
    readonly relay: Relay;
    readonly state: RelayState;
    /** `IP:PORT` for callers. */
    readonly callerListen: string;
    /** `IP:PORT` for readiness checks. */
    readonly readinessListen: string;
    /** Time from the signal until the platform kills the process. */
    readonly shutdownMilliseconds: number;
}

/** Running listeners. */
export interface Listeners {
    /** Takes the daemon out of rotation, waits for requests in progress, and resolves when the process may exit. */
    shutDown(): Promise<void>;
}

/** Least limit of the HTTP parser; the configured limit is checked against the parsed headers. */
const PARSER_HEADER_BYTES = 65_536;
/** The parser closes connections without a response, so its limit is this many times the configured one. */
const PARSER_HEADER_FACTOR = 2;
/** The platform takes a daemon out of rotation after two failed readiness checks, one per second. */
const LEAVE_ROTATION_MILLISECONDS = 2_600;
/** The process exits this long before the platform would kill it. */
const EXIT_MARGIN_MILLISECONDS = 400;
const IDLE_CHECK_MILLISECONDS = 50;
/** Callers reuse idle connections until shortly before the idle timeout, so the server keeps them open longer. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

/** Starts the listeners. */
export async function startListeners(parts: ListenerParts): Promise<Listeners> {
    const { log, relay, state } = parts;
    let draining = false;
    /** Requests whose head was read and whose response has not ended, also before the relay admits them. */
    let unanswered = 0;

    const handle = inOrder((request, response, waitedMilliseconds) => {
        unanswered += 1;
        response.once("close", () => {
            unanswered -= 1;
        });
        if (draining) {
            response.setHeader("Connection", "close");
        }
        relay.handle(request, response, waitedMilliseconds).catch((error: unknown) => {
            log.emit("requestFailed", { error });
            writeInternalError(response, true);
        });
    });
    const callerServer = createServer({
        maxHeaderSize: PARSER_HEADER_BYTES,
        requestTimeout: 0,
        noDelay: true,
    }, handle);
    callerServer.on("clientError", (...[, socket]: [Error, Socket]) => {
        // No request was parsed, so the caller must not receive a response that it could match to one.
        socket.destroy();
    });
    const readinessServer = createServer((...[, response]) => {
        const ready = !draining && state.lookup() !== undefined && state.targets().length > 0;
        response.writeHead(ready ? 200 : 503).end();
    });
    const connectionLimits = limitConnections(callerServer);
    const applyLimits = (): void => {
        const limits = state.lookup()?.configuration.limits;
        if (limits !== undefined) {
            // Node takes over the value for each new connection.
            const maxHeaderSize = Math.max(PARSER_HEADER_BYTES, PARSER_HEADER_FACTOR * limits.headerBytes);
            Object.assign(callerServer, { maxHeaderSize });
            connectionLimits.setHeaderTimeout(limits.headerTimeoutMilliseconds);
            connectionLimits.setIdleTimeout(limits.idleTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS);
        }
    };
    state.onChange(applyLimits);
    await Promise.all([listenOn(callerServer, parts.callerListen), listenOn(readinessServer, parts.readinessListen)]);

    return {
        shutDown: async () => {
            draining = true;
            const startedAt = performance.now();
            log.emit("daemonDraining", { inProgress: relay.inProgress() });
            await waitUntil(() => performance.now() - startedAt > LEAVE_ROTATION_MILLISECONDS);
            callerServer.close();
            const exitDeadlineMilliseconds = parts.shutdownMilliseconds - EXIT_MARGIN_MILLISECONDS;
            await waitUntil(() => {
                // The response of a connection that has just become idle may have begun before the shutdown, without
                // telling the caller to close it.
                callerServer.closeIdleConnections();
                const isDone = unanswered === 0 && relay.inProgress() === 0;
                return isDone || performance.now() - startedAt > exitDeadlineMilliseconds;
            });
            await closeAfterFlush(callerServer);
            log.emit("daemonStopped", { cutOff: relay.inProgress() });
        },
    };
}

/** Closes idle connections and gives the last bytes of responses time to be sent before the process exits. */
async function closeAfterFlush(server: Server): Promise<void> {
    server.closeIdleConnections();
    await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MILLISECONDS));
}

function waitUntil(condition: () => boolean): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => {
            if (condition()) {
                clearInterval(timer);
                resolve();
            }
        }, IDLE_CHECK_MILLISECONDS);
    });
}
