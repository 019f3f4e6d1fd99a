/** Listeners of the daemon on the platform, readiness, and the graceful shutdown. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { listenOn } from "../front/server.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Relay } from "./relay.js";
import type { RelayState } from "./state.js";

/** What the listeners work with. */
export interface ListenerParts {
    readonly log: EventLog;
    readonly relay: Relay;
    readonly state: RelayState;
    /** `IP:PORT` for callers. */
    readonly callerListen: string;
    /** `IP:PORT` for the questions whether this daemon is ready. */
    readonly readinessListen: string;
    /** Time from the signal until the process is ended from outside. */
    readonly shutdownMilliseconds: number;
}

/** The listeners. */
export interface Listeners {
    /** Takes the daemon out of rotation, lets requests in progress end, and resolves when it may exit. */
    shutDown(): Promise<void>;
}

/** Parser limit; the limit of the configuration is checked on the parsed headers. */
const PARSER_HEADER_BYTES = 65_536;
const CHECK_CONNECTIONS_MILLISECONDS = 500;
/** The platform takes a daemon out of rotation after two questions, one a second. */
const LEAVE_ROTATION_MILLISECONDS = 2_600;
/** The process ends this long before it would be killed. */
const EXIT_MARGIN_MILLISECONDS = 400;
const IDLE_CHECK_MILLISECONDS = 50;
/** Callers use idle connections again until shortly before the idle timeout. */
const IDLE_MARGIN_MILLISECONDS = 1_000;

/** Starts to listen. */
export async function startListeners(parts: ListenerParts): Promise<Listeners> {
    const { log, relay, state } = parts;
    let draining = false;

    const handle = (request: IncomingMessage, response: ServerResponse): void => {
        if (draining) {
            response.setHeader("Connection", "close");
        }
        relay.handle(request, response).catch((error: unknown) => {
            log.emit("requestFailed", { error });
            response.destroy();
        });
    };
    const callers = createServer({
        maxHeaderSize: PARSER_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_CONNECTIONS_MILLISECONDS,
        requestTimeout: 0,
        noDelay: true,
    }, handle);
    callers.on("clientError", (...[, socket]: [Error, Socket]) => {
        // Nothing was read as a request: there is no answer that the caller could take for its own.
        socket.destroy();
    });
    const readiness = createServer((...[, response]) => {
        const ready = !draining && state.lookup() !== undefined && state.targets().length > 0;
        response.writeHead(ready ? 200 : 503).end();
    });
    const applyLimits = (): void => {
        const limits = state.lookup()?.configuration.limits;
        if (limits !== undefined) {
            callers.headersTimeout = limits.headerTimeoutMilliseconds;
            callers.keepAliveTimeout = limits.idleTimeoutMilliseconds + IDLE_MARGIN_MILLISECONDS;
        }
    };
    state.onChange(applyLimits);
    await Promise.all([listenOn(callers, parts.callerListen), listenOn(readiness, parts.readinessListen)]);

    return {
        shutDown: async () => {
            draining = true;
            const startedAt = performance.now();
            log.emit("daemonDraining", { inProgress: relay.inProgress() });
            await until(() => performance.now() - startedAt > LEAVE_ROTATION_MILLISECONDS);
            callers.close();
            callers.closeIdleConnections();
            const lastExit = parts.shutdownMilliseconds - EXIT_MARGIN_MILLISECONDS;
            await until(() => relay.inProgress() === 0 || performance.now() - startedAt > lastExit);
            await closeQuietly(callers);
            log.emit("daemonStopped", { cutOff: relay.inProgress() });
        },
    };
}

/** Lets the last bytes of answers leave before the process ends. */
async function closeQuietly(server: Server): Promise<void> {
    server.closeIdleConnections();
    await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MILLISECONDS));
}

function until(condition: () => boolean): Promise<void> {
    return new Promise(resolve => {
        const timer = setInterval(() => {
            if (condition()) {
                clearInterval(timer);
                resolve();
            }
        }, IDLE_CHECK_MILLISECONDS);
    });
}
