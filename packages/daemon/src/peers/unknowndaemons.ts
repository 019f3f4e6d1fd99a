/** Decides when a daemon reads the announcements of the others anew, because a collector names one that it does not know. */

/** Names that were looked up. Times are monotonic milliseconds. */
export interface UnknownDaemons {
    /** Returns whether one of the names was not looked up lately; they then count as looked up. */
    shouldRead(names: readonly string[], now: number): boolean;
}

/** A name that stays unknown is looked up again after this time. */
const RETRY_MILLISECONDS = 5_000;

/** Creates a memory of no names. */
export function createUnknownDaemons(): UnknownDaemons {
    const lookedUpAt = new Map<string, number>();
    return {
        shouldRead: (names, now) => {
            [...lookedUpAt].filter(([, at]) => now - at >= RETRY_MILLISECONDS)
                .forEach(([name]) => lookedUpAt.delete(name));
            const fresh = names.filter(name => !lookedUpAt.has(name));
            fresh.forEach(name => lookedUpAt.set(name, now));
            return fresh.length > 0;
        },
    };
}
