/** Load on targets from the requests of other daemons, as last reported by each. */

/** Load that one daemon reports for one target. */
export interface ReportedLoad {
    readonly target: string;
    readonly inProgress: number;
    /** Prompt tokens that wait for prefill. */
    readonly pendingPromptTokens: number;
}

/** Load from all other daemons. Times are monotonic milliseconds. */
export interface PeerLoads {
    /** Replaces the previous report of a daemon. */
    update(daemon: string, loads: readonly ReportedLoad[], now: number): void;
    /** Returns the total load of a target over all reports that have not expired. */
    totalOf(target: string, now: number): { readonly inProgress: number; readonly pendingPromptTokens: number; };
    /** Returns the daemons whose reports have not expired. */
    peers(now: number): readonly string[];
}

/** A daemon that has not reported for this long counts as gone, together with its requests. */
const REPORT_EXPIRY_MILLISECONDS = 2_000;

interface PeerReport {
    readonly receivedAt: number;
    readonly loads: ReadonlyMap<string, ReportedLoad>;
}

/** Creates an empty collection of reports. */
export function createPeerLoads(): PeerLoads {
    const reports = new Map<string, PeerReport>();
    const recent = (now: number): PeerReport[] =>
        [...reports.values()].filter(({ receivedAt }) => now - receivedAt < REPORT_EXPIRY_MILLISECONDS);
    return {
        update: (daemon, loads, now) => {
            reports.set(daemon, { receivedAt: now, loads: new Map(loads.map(load => [load.target, load])) });
        },
        totalOf: (target, now) =>
            recent(now).reduce((sum, { loads }) => {
                const load = loads.get(target);
                return load === undefined ? sum : {
                    inProgress: sum.inProgress + load.inProgress,
                    pendingPromptTokens: sum.pendingPromptTokens + load.pendingPromptTokens,
                };
            }, { inProgress: 0, pendingPromptTokens: 0 }),
        peers: now =>
            [...reports.entries()].filter(([, { receivedAt }]) => now - receivedAt < REPORT_EXPIRY_MILLISECONDS).map((
                [name],
            ) => name),
    };
}
