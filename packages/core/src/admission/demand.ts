/** Demand of this daemon and of the others over a window, as `computeShares` needs it. */
import { computeShares, type TeamLimit } from "./shares.js";
import type { TeamShare } from "./types.js";

/** Age at which the demand of another daemon no longer counts as heard. */
export const DEMAND_WINDOW_MILLISECONDS = 5_000;
/** Own demand counts for longer than that of others by the longest time that a message may take. */
const DELIVERY_MILLISECONDS = 1_000;

/** Requests a second of each team. */
export type Demand = ReadonlyMap<string, number>;

/** Book of stated and heard demand. */
export interface DemandBook {
    /** Notes the demand that this daemon states to the others from now on. */
    stated(demand: Demand, now: number): void;
    /** Notes the demand that another daemon states; `age` is the time since it was stated, if it was relayed. */
    heard(daemon: string, demand: Demand, now: number, age?: number): void;
    shares(limits: readonly TeamLimit[], knownDaemons: number, now: number): TeamShare[];
}

interface Statement {
    readonly demand: Demand;
    readonly at: number;
}

/** Makes an empty book. */
export function createDemandBook(windowMilliseconds = DEMAND_WINDOW_MILLISECONDS): DemandBook {
    const others = new Map<string, readonly Statement[]>();
    // A daemon that has just started has stated no demand, so it starts from its even and floor share.
    let own: readonly Statement[] = [{ demand: new Map(), at: Number.NEGATIVE_INFINITY }];

    return {
        stated: (demand, now) => {
            const since = now - windowMilliseconds - DELIVERY_MILLISECONDS;
            // The newest statement before the window is still in force at its start.
            const inForce = own.findLastIndex(({ at }) => at <= since);
            own = [...own.slice(Math.max(0, inForce)), { demand, at: now }];
        },
        heard: (daemon, demand, now, age = 0) => {
            const kept = (others.get(daemon) ?? []).filter(({ at }) => at > now - windowMilliseconds);
            others.set(daemon, [...kept, { demand, at: now - age }]);
        },
        shares: (limits, knownDaemons, now) => {
            const fresh = [...others].map(([daemon, statements]) =>
                [daemon, statements.filter(({ at }) => at > now - windowMilliseconds)] as const
            );
            fresh.filter(([, statements]) => statements.length === 0).forEach(([daemon]) => others.delete(daemon));
            return computeShares({
                limits,
                knownDaemons,
                own: combine(own, Math.min),
                others: fresh.filter(([, statements]) => statements.length > 0)
                    .map(([, statements]) => combine(statements, Math.max)),
            });
        },
    };
}

/** Combines the demand of each team over statements; a team absent from a statement has no demand in it. */
function combine(statements: readonly Statement[], choose: (...values: number[]) => number): Demand {
    const teams = new Set(statements.flatMap(({ demand }) => [...demand.keys()]));
    return new Map(
        [...teams].map(team => [team, choose(...statements.map(({ demand }) => demand.get(team) ?? 0))]),
    );
}
