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
    /** When the list was first read, in monotonic milliseconds; `undefined` until then. */
    readAt(): number | undefined;
}

/** Creates the list of the daemon `self`, without any other daemon. */
export function createDaemonList(self: DaemonPresence, now: () => number = () => performance.now()): DaemonList {
    let others: readonly DaemonPresence[] = [];
    let readAt: number | undefined;
    let all: readonly DaemonPresence[] = [self];
    let addresses: ReadonlyMap<string, string> = new Map();
    return {
        replace: daemons => {
            readAt ??= now();
            others = daemons.filter(({ daemon }) => daemon !== self.daemon);
            all = [self, ...others];
            addresses = new Map(all.map(({ daemon, ip }) => [daemon, ip]));
        },
        others: () => others,
        all: () => all,
        addressOf: daemon => addresses.get(daemon),
        count: () => others.length + 1,
        readAt: () => readAt,
    };
}
