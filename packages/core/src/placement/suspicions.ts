/** Suspicions of other daemons about groups. A single daemon may itself be partitioned, so that two must agree. */

/** Recent suspicions by group. Times are monotonic milliseconds. */
export interface Suspicions {
    /** Records a suspicion and returns whether a quorum of daemons agrees. */
    record(group: string, daemon: string, now: number): boolean;
}

const SUSPICION_QUORUM = 2;
const SUSPICION_EXPIRY_MILLISECONDS = 3_000;

/** Creates an empty collection. */
export function createSuspicions(): Suspicions {
    const suspicionTimes = new Map<string, Map<string, number>>();
    return {
        record: (group, daemon, now) => {
            const recent = [...suspicionTimes.get(group) ?? []].filter(([, at]) =>
                now - at < SUSPICION_EXPIRY_MILLISECONDS
            );
            const daemons = new Map([...recent, [daemon, now]]);
            suspicionTimes.set(group, daemons);
            return daemons.size >= SUSPICION_QUORUM;
        },
    };
}
