/** The daemons that have announced themselves. */
import type { DaemonPresence } from "../ports/presence.js";

/** List of daemons, as read from the presence topic. */
export interface DaemonList {
    /** Replaces the list; this daemon may be on it. */
    replace(daemons: readonly DaemonPresence[]): void;
    /** Returns all other daemons. Some of them may have stopped without withdrawing. */
    others(): readonly DaemonPresence[];
    /** Returns all daemons, including this one; the same array until the list is replaced. */
    all(): readonly DaemonPresence[];
    /** Returns the IP address of a daemon. */
    addressOf(daemon: string): string | undefined;
    /** Returns the number of daemons, including this one. */
    count(): number;
}

/** Creates the list of the daemon `self`, without any other daemon. */
export function createDaemonList(self: DaemonPresence): DaemonList {
    let others: readonly DaemonPresence[] = [];
    let all: readonly DaemonPresence[] = [self];
    let addresses: ReadonlyMap<string, string> = new Map();
    return {
        replace: daemons => {
            others = daemons.filter(({ daemon }) => daemon !== self.daemon);
            all = [self, ...others];
            addresses = new Map(all.map(({ daemon, ip }) => [daemon, ip]));
        },
        others: () => others,
        all: () => all,
        addressOf: daemon => addresses.get(daemon),
        count: () => others.length + 1,
    };
}
