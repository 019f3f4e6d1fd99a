/** Chooses the daemon that takes a request from this one, which reaches no target. */
import type { DaemonPresence } from "../ports/presence.js";

/** Daemons that take requests from this one. */
export interface HandOverDaemons {
    /** Returns a daemon that reported recently and takes requests, except those named. */
    choose(excluded: readonly string[]): DaemonPresence | undefined;
    /** Whether an address belongs to a daemon of this deployment. */
    isDaemonAddress(ip: string): boolean;
}

/** Collaborators of the choice. */
export interface HandOverDaemonsParts {
    readonly dataCentre: string;
    /** All other daemons that have announced themselves. */
    readonly others: () => readonly DaemonPresence[];
    /** Whether a daemon runs and takes requests. */
    readonly takesRequests: (daemon: string) => boolean;
    /** Returns a random number in [0, 1). */
    readonly random: () => number;
}

/** With fewer daemons in the own data centre, the requests are spread over all, so that they do not load one alone. */
const LEAST_LOCAL_DAEMONS = 2;

/** Creates the choice. */
export function createHandOverDaemons(parts: HandOverDaemonsParts): HandOverDaemons {
    return {
        choose: excluded => {
            const taking = parts.others().filter(({ daemon }) =>
                !excluded.includes(daemon) && parts.takesRequests(daemon)
            );
            const local = taking.filter(({ dataCentre }) => dataCentre === parts.dataCentre);
            const chosen = local.length >= LEAST_LOCAL_DAEMONS ? local : taking;
            return chosen[Math.floor(parts.random() * chosen.length)];
        },
        isDaemonAddress: ip => parts.others().some(other => other.ip === ip),
    };
}
