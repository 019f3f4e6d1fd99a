/** The daemons that have announced themselves. */
import type { DaemonPresence } from "../ports/presence.js";

/** List of daemons, as read from the presence topic. */
export interface DaemonList {
    /** Replaces the list; this daemon may be on it. */
    replace(daemons: readonly DaemonPresence[]): void;
    /** Returns all other daemons. Some of them may have stopped without withdrawing. */
    others(): readonly DaemonPresence[];
    /** Returns the number of daemons, including this one. */
    count(): number;
}

/** Creates the list of the daemon `self`, without any other daemon. */
export function createDaemonList(self: string): DaemonList {
    let others: readonly DaemonPresence[] = [];
    return {
        replace: daemons => {
            others = daemons.filter(({ daemon }) => daemon !== self);
        },
        others: () => others,
        count: () => others.length + 1,
    };
}
