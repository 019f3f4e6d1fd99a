/** Starts the listeners of the daemon on a platform, and shuts them down. */
import type { ServerResponse } from "node:http";
import { listenOn } from "../front/server.js";
import type { EventLog } from "../ports/eventlog.js";
import { createCallerServer } from "./callerserver.js";
import { createReadinessServer } from "./readiness.js";
import type { Relay } from "./relay.js";
import { writeInternalError, writeShutdown } from "./responses.js";
import { drain } from "./shutdown.js";
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

/** Starts the listeners. */
export async function startListeners(parts: ListenerParts): Promise<Listeners> {
    const { log, relay, state } = parts;
    let draining = false;
    let stopped = false;
    let cutOff = 0;
    /** Responses to requests whose head was read, also before the relay admits them, until they end. */
    const unanswered = new Set<ServerResponse>();

    const callerServer = createCallerServer(state, (request, response, waitedMilliseconds) => {
        unanswered.add(response);
        response.once("close", () => unanswered.delete(response));
        if (stopped) {
            writeShutdown(response, false);
            return;
        }
        if (draining) {
            response.setHeader("Connection", "close");
        }
        relay.handle(request, response, waitedMilliseconds).catch((error: unknown) => {
            log.emit("requestFailed", { error });
            writeInternalError(response, true);
        });
    });
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
    await Promise.all([listenOn(callerServer, parts.callerListen), listenOn(readinessServer, parts.readinessListen)]);

    return {
        shutDown: async () => {
            draining = true;
            log.emit("daemonDraining", { inProgress: relay.inProgress() });
            const isIdle = (): boolean => unanswered.size === 0 && relay.inProgress() === 0;
            await drain(callerServer, { isIdle, endAll }, parts.shutdownMilliseconds);
            log.emit("daemonStopped", { cutOff });
        },
    };
}
