/** Demand of this daemon and of the others over a window, as `computeShares` needs it. */
import { computeShares, type TeamLimit } from "./shares.js";
import type { TeamShare } from "./types.js";

/** Age at which the demand of another daemon no longer counts as heard. */
export const DEMAND_WINDOW_MILLISECONDS = 5_000;
/** Own demand counts for longer than that of others by the longest time that a message may take. */
const MAXIMUM_DELIVERY_MILLISECONDS = 1_000;

/** Time constant of the average of the measured demand. */
const AVERAGE_TIME_CONSTANT_MILLISECONDS = 4_000;
/**
 * A statement changes when the average has left it by this part, or by this many standard deviations of a count over
 * the averaging time. Noise in the statements would cost use of the limit: shares rest on the least own and the
 * greatest heard demand.
 */
const CHANGE_RATIO = 0.25;
const CHANGE_STANDARD_DEVIATIONS = 2;

/** Requests a second of each team. */
export type Demand = ReadonlyMap<string, number>;

/** Book of stated and heard demand. */
export interface DemandTracker {
    /**
     * Takes the measured demand of this daemon; answers what it must state to the others from now on: the average,
     * and the former statement while the average is near it.
     */
    recordMeasured(demand: Demand, now: number): Demand;
    /** Notes the demand that this daemon states to the others from now on, if `measured` is not used. */
    recordAdvertised(demand: Demand, now: number): void;
    /** Notes the demand that another daemon states; `age` is the time since it was stated, if it was relayed. */
    recordPeer(daemon: string, demand: Demand, now: number, age?: number): void;
    shares(limits: readonly TeamLimit[], knownDaemons: number, now: number): TeamShare[];
}

interface DemandReport {
    readonly demand: Demand;
    readonly at: number;
}

/** Makes an empty book. */
export function createDemandTracker(windowMilliseconds = DEMAND_WINDOW_MILLISECONDS): DemandTracker {
    const others = new Map<string, readonly DemandReport[]>();
    let average: DemandReport | undefined;
    // A daemon that has just started has stated no demand, so it starts from its even and floor share.
    let own: readonly DemandReport[] = [{ demand: new Map(), at: Number.NEGATIVE_INFINITY }];

    const recordAdvertised = (demand: Demand, now: number): void => {
        const since = now - windowMilliseconds - MAXIMUM_DELIVERY_MILLISECONDS;
        // The newest statement before the window is still in force at its start.
        const inForce = own.findLastIndex(({ at }) => at <= since);
        own = [...own.slice(Math.max(0, inForce)), { demand, at: now }];
    };

    return {
        recordMeasured: (demand, now) => {
            average = updateAverage(average, { demand, at: now });
            const next = nextAdvertised(own.at(-1)?.demand ?? new Map(), average.demand);
            recordAdvertised(next, now);
            return next;
        },
        recordAdvertised,
        recordPeer: (daemon, demand, now, age = 0) => {
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
function combine(statements: readonly DemandReport[], choose: (...values: number[]) => number): Demand {
    const teams = new Set(statements.flatMap(({ demand }) => [...demand.keys()]));
    return new Map(
        [...teams].map(team => [team, choose(...statements.map(({ demand }) => demand.get(team) ?? 0))]),
    );
}

function updateAverage(before: DemandReport | undefined, newest: DemandReport): DemandReport {
    if (before === undefined) {
        return newest;
    }
    const kept = Math.exp((before.at - newest.at) / AVERAGE_TIME_CONSTANT_MILLISECONDS);
    const teams = [...new Set([...before.demand.keys(), ...newest.demand.keys()])];
    const rateOf = (team: string): number =>
        (newest.demand.get(team) ?? 0) * (1 - kept) + (before.demand.get(team) ?? 0) * kept;
    // A team without demand is dropped once its average no longer matters.
    const rates = teams.map(team => [team, rateOf(team)] as const).filter(([, rate]) => rate > 1e-3);
    return { demand: new Map(rates), at: newest.at };
}

/** Next statement: that of before for each team whose average is still near it. */
function nextAdvertised(before: Demand, average: Demand): Demand {
    const next = [...average].map(([team, rate]) => {
        const advertised = before.get(team);
        const noise = CHANGE_STANDARD_DEVIATIONS
            * Math.sqrt((advertised ?? 0) * 1_000 / AVERAGE_TIME_CONSTANT_MILLISECONDS);
        const near = advertised !== undefined
            && Math.abs(rate - advertised) <= Math.max(advertised * CHANGE_RATIO, noise);
        return [team, near ? advertised : rate] as const;
    });
    return new Map(next);
}
