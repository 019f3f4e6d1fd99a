/** Starts the listeners of the daemon on a platform, and shuts them down. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { type CallerResources, createCallerResources } from "../callers/callerresources.js";
import { listenOn } from "../front/server.js";
import type { EventLog } from "../ports/eventlog.js";
import { createCallerServer } from "./callerserver.js";
import { createReadinessServer } from "./readiness.js";
import type { Relay } from "./relay.js";
import type { RequestHandler } from "./requestorder.js";
import { writeInternalError, writeRefusal, writeShutdown } from "./responses.js";
import { drain, shutdownTimesOf } from "./shutdown.js";
import type { RelayState } from "./statetypes.js";

/** Collaborators and addresses of the listeners. */
export interface ListenerParts {
    readonly log: EventLog;
    readonly relay: Relay;
    readonly state: RelayState;
    /** `IP:PORT` for callers. */
    readonly callerListen: string;
    /** `IP:PORT` for readiness checks. */
    readonly readinessListen: string;
    /** How requests of other daemons are taken; absent if none are. */
    readonly daemons?: DaemonListenerParts;
    /** Memory that is held for callers; absent for the share of the default memory. */
    readonly callerResources?: CallerResources;
    /** Time from the signal until the platform kills the process. */
    readonly shutdownMilliseconds: number;
}

/** How requests are taken that other daemons hand over. */
export interface DaemonListenerParts {
    /** `IP:PORT` at which they are taken. */
    readonly listen: string;
    /** Whether an address belongs to a daemon of this deployment. */
    readonly isDaemonAddress: (ip: string) => boolean;
}

/** Requests of other daemons in progress above which further ones are refused, so that the own callers are served. */
const MAXIMUM_TAKEN_REQUESTS = 128;
const TAKEN_RETRY_AFTER_MILLISECONDS = 500;
const DEFAULT_MEMORY_MEGABYTES = 350;

/** Running listeners. */
export interface Listeners {
    /** Takes the daemon out of rotation, waits for requests in progress, and resolves when the process may exit. */
    shutDown(): Promise<void>;
    /** Whether the daemon has begun to stop. */
    isDraining(): boolean;
}

type Handle = (request: IncomingMessage, response: ServerResponse, waitedMilliseconds: number) => Promise<void>;

/** Starts the listeners. */
export async function startListeners(parts: ListenerParts): Promise<Listeners> {
    const { log, relay, state } = parts;
    const resources = parts.callerResources ?? createCallerResources(DEFAULT_MEMORY_MEGABYTES, log);
    let draining = false;
    let stopped = false;
    let cutOff = 0;
    /** Responses to requests whose head was read, also before the relay admits them, until they end. */
    const unanswered = new Set<ServerResponse>();

    const handleWith = (handle: Handle): RequestHandler => (request, response, waitedMilliseconds) => {
        unanswered.add(response);
        response.once("close", () => unanswered.delete(response));
        if (stopped) {
            writeShutdown(response, false);
            return;
        }
        if (draining) {
            response.setHeader("Connection", "close");
        }
        handle(request, response, waitedMilliseconds).catch((error: unknown) => {
            log.emit("requestFailed", { error });
            writeInternalError(response, true);
        });
    };
    const callers = createCallerServer(state, resources, handleWith((...request) => relay.handle(...request)));
    const endAll = (): void => {
        stopped = true;
        cutOff = relay.inProgress();
        relay.stop();
        // The relay has not admitted the others, so that no target has run them.
        [...unanswered].filter(({ headersSent }) => !headersSent)
            .forEach(response => writeShutdown(response, false));
    };
    const readinessServer = createReadinessServer(() =>
        !draining && state.lookup() !== undefined && state.targets().length > 0
    );
    await Promise.all([
        listenOn(callers.server, parts.callerListen),
        listenOn(readinessServer, parts.readinessListen),
        ...(parts.daemons === undefined
            ? []
            : [listenOn(createDaemonServer(parts, resources, parts.daemons, handleWith), parts.daemons.listen)]),
    ]);

    return {
        shutDown: async () => {
            const times = shutdownTimesOf(parts.shutdownMilliseconds);
            draining = true;
            relay.beginShutdown(times);
            log.emit("daemonDraining", { inProgress: relay.inProgress() });
            const isIdle = (): boolean =>
                unanswered.size === 0 && relay.inProgress() === 0 && !callers.connections.hasPartialRequest();
            await drain(callers, { isIdle, endAll }, times);
            stopped = true;
            log.emit("daemonStopped", { cutOff });
        },
        isDraining: () => draining,
    };
}

/** Creates the server for requests that other daemons hand over. Connections from other addresses are closed. */
function createDaemonServer(
    { log, relay, state }: ListenerParts,
    resources: CallerResources,
    { isDaemonAddress }: DaemonListenerParts,
    handleWith: (handle: Handle) => RequestHandler,
): Server {
    let taken = 0;
    const { server } = createCallerServer(
        state,
        resources,
        handleWith(async (request, response, waitedMilliseconds) => {
            if (taken >= MAXIMUM_TAKEN_REQUESTS) {
                writeRefusal(response, "full", TAKEN_RETRY_AFTER_MILLISECONDS);
                return;
            }
            taken += 1;
            response.once("close", () => {
                taken -= 1;
            });
            await relay.handleFromDaemon(request, response, waitedMilliseconds);
        }),
    );
    server.prependListener("connection", socket => {
        if (!isDaemonAddress(socket.remoteAddress ?? "")) {
            log.emit("handOverRefused", { address: socket.remoteAddress });
            socket.destroy();
        }
    });
    return server;
}
