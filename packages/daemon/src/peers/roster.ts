/** Daemons that are known to run, from the statements of collectors. Times are monotonic milliseconds. */

/** Daemons that run. */
export interface Roster {
    /** Takes over what a collector states: the daemons that it knows, with whether they take requests of other daemons. */
    merge(
        collector: string,
        daemons: readonly (readonly [daemon: string, takesRequests: boolean])[],
        now: number,
    ): void;
    /** Records what a daemon says of itself, which holds until a statement that was received later. */
    record(daemon: string, takesRequests: boolean, now: number): void;
    /** Returns the daemons that a recent statement names. */
    daemons(now: number): readonly string[];
    /** Whether a daemon takes requests of others; one that no recent statement names does not. */
    takesRequests(daemon: string, now: number): boolean;
}

/** Longer than two intervals between the statements of a collector that name all daemons. */
const EXPIRY_MILLISECONDS = 2_000;

interface StatedRoster {
    readonly takesRequests: ReadonlyMap<string, boolean>;
    readonly receivedAt: number;
}

/** Creates an empty roster. */
export function createRoster(): Roster {
    const statements = new Map<string, StatedRoster>();
    const told = new Map<string, { readonly takesRequests: boolean; readonly at: number; }>();
    const recent = (now: number): StatedRoster[] =>
        [...statements.values()].filter(({ receivedAt }) => now - receivedAt < EXPIRY_MILLISECONDS);
    return {
        merge: (collector, daemons, now) => {
            statements.set(collector, { takesRequests: new Map(daemons), receivedAt: now });
        },
        daemons: now => [...new Set(recent(now).flatMap(({ takesRequests }) => [...takesRequests.keys()]))],
        record: (daemon, takesRequests, now) => void told.set(daemon, { takesRequests, at: now }),
        takesRequests: (daemon, now) => {
            const naming = recent(now).filter(({ takesRequests }) => takesRequests.has(daemon));
            const newest = Math.max(...naming.map(({ receivedAt }) => receivedAt));
            const own = told.get(daemon);
            return own !== undefined && naming.length > 0 && own.at >= newest
                ? own.takesRequests
                : naming.some(({ takesRequests, receivedAt }) =>
                    receivedAt === newest && takesRequests.get(daemon) === true
                );
        },
    };
}
