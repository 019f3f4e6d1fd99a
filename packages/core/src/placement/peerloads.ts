/** Load that other daemons have put on targets, as they last told. */

/** What one daemon tells of one target. */
export interface ToldLoad {
    readonly target: string;
    readonly inProgress: number;
    /** Prompt tokens that wait to be read. */
    readonly unreadTokens: number;
}

/** Sums over all other daemons. */
export interface PeerLoads {
    /** Replaces what a daemon told before. */
    tell(daemon: string, loads: readonly ToldLoad[], now: number): void;
    /** Sum for a target over the daemons that told lately. */
    of(target: string, now: number): { readonly inProgress: number; readonly unreadTokens: number; };
    /** Daemons that told lately. */
    peers(now: number): readonly string[];
}

/** A daemon that has been silent this long is taken as gone, with its requests. */
const SILENCE_MILLISECONDS = 2_000;

interface Told {
    readonly at: number;
    readonly loads: ReadonlyMap<string, ToldLoad>;
}

/** Makes empty sums. */
export function createPeerLoads(): PeerLoads {
    const told = new Map<string, Told>();
    const recent = (now: number): Told[] => [...told.values()].filter(({ at }) => now - at < SILENCE_MILLISECONDS);
    return {
        tell: (daemon, loads, now) => {
            told.set(daemon, { at: now, loads: new Map(loads.map(load => [load.target, load])) });
        },
        of: (target, now) =>
            recent(now).reduce((sum, { loads }) => {
                const load = loads.get(target);
                return load === undefined ? sum : {
                    inProgress: sum.inProgress + load.inProgress,
                    unreadTokens: sum.unreadTokens + load.unreadTokens,
                };
            }, { inProgress: 0, unreadTokens: 0 }),
        peers: now => [...told.entries()].filter(([, { at }]) => now - at < SILENCE_MILLISECONDS).map(([name]) => name),
    };
}
