/** Suspicions of other daemons about groups. One daemon alone may be cut off itself, so that two must agree. */

/** Collected suspicions. Times are monotonic milliseconds. */
export interface Suspicions {
    /** Notes a suspicion; returns whether enough daemons agree. */
    record(group: string, daemon: string, now: number): boolean;
}

const AGREEING_DAEMONS = 2;
const SUSPICION_MILLISECONDS = 3_000;

/** Makes an empty collection. */
export function createSuspicions(): Suspicions {
    const suspicions = new Map<string, Map<string, number>>();
    return {
        record: (group, daemon, now) => {
            const earlier = [...suspicions.get(group) ?? []].filter(([, at]) => now - at < SUSPICION_MILLISECONDS);
            const daemons = new Map([...earlier, [daemon, now]]);
            suspicions.set(group, daemons);
            return daemons.size >= AGREEING_DAEMONS;
        },
    };
}
