/** Load that other daemons have put on targets, as they last told. */

/** What one daemon tells of one target. */
export interface ReportedLoad {
    readonly target: string;
    readonly inProgress: number;
    /** Prompt tokens that wait to be read. */
    readonly pendingPromptTokens: number;
}

/** Sums over all other daemons. */
export interface PeerLoads {
    /** Replaces what a daemon told before. */
    update(daemon: string, loads: readonly ReportedLoad[], now: number): void;
    /** Sum for a target over the daemons that told lately. */
    totalOf(target: string, now: number): { readonly inProgress: number; readonly pendingPromptTokens: number; };
    /** Daemons that told lately. */
    peers(now: number): readonly string[];
}

/** A daemon that has been silent this long is taken as gone, with its requests. */
const SILENCE_MILLISECONDS = 2_000;

interface Told {
    readonly at: number;
    readonly loads: ReadonlyMap<string, ReportedLoad>;
}

/** Makes empty sums. */
export function createPeerLoads(): PeerLoads {
    const told = new Map<string, Told>();
    const recent = (now: number): Told[] => [...told.values()].filter(({ at }) => now - at < SILENCE_MILLISECONDS);
    return {
        update: (daemon, loads, now) => {
            told.set(daemon, { at: now, loads: new Map(loads.map(load => [load.target, load])) });
        },
        totalOf: (target, now) =>
            recent(now).reduce((sum, { loads }) => {
                const load = loads.get(target);
                return load === undefined ? sum : {
                    inProgress: sum.inProgress + load.inProgress,
                    pendingPromptTokens: sum.pendingPromptTokens + load.pendingPromptTokens,
                };
            }, { inProgress: 0, pendingPromptTokens: 0 }),
        peers: now => [...told.entries()].filter(([, { at }]) => now - at < SILENCE_MILLISECONDS).map(([name]) => name),
    };
}
