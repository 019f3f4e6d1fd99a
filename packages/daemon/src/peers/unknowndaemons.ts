/** Decides when a daemon reads the announcements of the others anew, because a collector names some that it does not know. */
import { MOST_DAEMONS_AT_ONCE } from "./sendschedule.js";

/** Names that were looked up. Times are monotonic milliseconds. */
export interface UnknownDaemons {
    /**
     * Returns after how many milliseconds to read because of these names, or `undefined` if a read that is due or was made
     * lately covers them. `daemons` is the number of known ones.
     */
    readAfter(names: readonly string[], daemons: number, now: number): number | undefined;
}

/** A name that stays unknown is looked up again after this time. */
const RETRY_MILLISECONDS = 5_000;
/** When many daemons start together, their names are looked up together. */
const GATHERING_MILLISECONDS = 500;

/** Creates a memory of no names. */
export function createUnknownDaemons(): UnknownDaemons {
    /** When each name is or was looked up. */
    const lookedUpAt = new Map<string, number>();
    let readAt = Number.NEGATIVE_INFINITY;
    return {
        readAfter: (names, daemons, now) => {
            [...lookedUpAt].filter(([, at]) => now - at >= RETRY_MILLISECONDS)
                .forEach(([name]) => lookedUpAt.delete(name));
            const fresh = names.filter(name => !lookedUpAt.has(name));
            if (fresh.length === 0) {
                return undefined;
            }
            const isScheduled = now < readAt;
            if (!isScheduled) {
                readAt = now + (daemons > MOST_DAEMONS_AT_ONCE ? GATHERING_MILLISECONDS : 0);
            }
            fresh.forEach(name => lookedUpAt.set(name, readAt));
            return isScheduled ? undefined : readAt - now;
        },
    };
}
