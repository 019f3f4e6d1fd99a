/** The daemons that have announced themselves. */
import type { DaemonPresence } from "../ports/presence.js";

/** List of daemons, as the presence topic tells it. */
export interface DaemonList {
    /** Replaces the list; this daemon may be on it. */
    replace(daemons: readonly DaemonPresence[]): void;
    /** All daemons but this one. Some may be gone without a notice. */
    others(): readonly DaemonPresence[];
    /** Number of daemons with this one. */
    count(): number;
}

/** Makes the list of a daemon that knows no other. */
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
