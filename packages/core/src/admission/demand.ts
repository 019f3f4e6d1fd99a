/** Tracks the demand of this daemon and of its peers over a window, as input for `computeShares`. */
import { computeShares, type TeamLimit } from "./shares.js";
import type { TeamShare } from "./types.js";

/** Age after which a demand report of a peer is discarded. */
export const DEMAND_WINDOW_MILLISECONDS = 5_000;
/** Maximum delivery time of a report. Own demand is kept for the window plus this time. */
const MAXIMUM_DELIVERY_MILLISECONDS = 1_000;

/** Time constant of the exponential average of the measured demand. */
const AVERAGE_TIME_CONSTANT_MILLISECONDS = 4_000;
/**
 * The advertised demand changes only when the average differs from it by more than this ratio and by more than this
 * many standard deviations of a count over the averaging time. Noise in the reports would lower the utilization of the
 * limit, because shares are computed from the minimum of the own demand and the maximum of each peer's demand.
 */
const CHANGE_RATIO = 0.25;
const CHANGE_STANDARD_DEVIATIONS = 2;

/** Requests per second of each team. */
export type Demand = ReadonlyMap<string, number>;

/** Tracks the demand that this daemon advertised and the demand that its peers reported. */
export interface DemandTracker {
    /**
     * Records the measured demand of this daemon and returns the demand to advertise from now on: the average, or for
     * each team the previously advertised value while the average is close to it.
     */
    recordMeasured(demand: Demand, now: number): Demand;
    /** Records the demand that this daemon advertises from now on, if `recordMeasured` is not used. */
    recordAdvertised(demand: Demand, now: number): void;
    /** Records the demand reported by a peer. `age` is the time since the report was made, if it was relayed. */
    recordPeer(daemon: string, demand: Demand, now: number, age?: number): void;
    shares(limits: readonly TeamLimit[], knownDaemons: number, now: number): TeamShare[];
}

interface DemandReport {
    readonly demand: Demand;
    readonly at: number;
}

/** Creates an empty tracker. */
export function createDemandTracker(windowMilliseconds = DEMAND_WINDOW_MILLISECONDS): DemandTracker {
    const others = new Map<string, readonly DemandReport[]>();
    let average: DemandReport | undefined;
    // A daemon that has just started has advertised no demand, so it starts with its even share and the floor share.
    let own: readonly DemandReport[] = [{ demand: new Map(), at: Number.NEGATIVE_INFINITY }];

    const recordAdvertised = (demand: Demand, now: number): void => {
        const since = now - windowMilliseconds - MAXIMUM_DELIVERY_MILLISECONDS;
        // The newest report before the window still applies at the start of the window.
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
            const recent = (others.get(daemon) ?? []).filter(({ at }) => at > now - windowMilliseconds);
            others.set(daemon, [...recent, { demand, at: now - age }]);
        },
        shares: (limits, knownDaemons, now) => {
            const fresh = [...others].map(([daemon, reports]) =>
                [daemon, reports.filter(({ at }) => at > now - windowMilliseconds)] as const
            );
            fresh.filter(([, reports]) => reports.length === 0).forEach(([daemon]) => others.delete(daemon));
            return computeShares({
                limits,
                knownDaemons,
                own: combine(own, Math.min),
                others: fresh.filter(([, reports]) => reports.length > 0)
                    .map(([, reports]) => combine(reports, Math.max)),
            });
        },
    };
}

/** Combines the demand of each team over several reports. A team that a report does not list has no demand in it. */
function combine(reports: readonly DemandReport[], aggregate: (...values: number[]) => number): Demand {
    const teams = new Set(reports.flatMap(({ demand }) => [...demand.keys()]));
    return new Map(
        [...teams].map(team => [team, aggregate(...reports.map(({ demand }) => demand.get(team) ?? 0))]),
    );
}

function updateAverage(before: DemandReport | undefined, newest: DemandReport): DemandReport {
    if (before === undefined) {
        return newest;
    }
    const decay = Math.exp((before.at - newest.at) / AVERAGE_TIME_CONSTANT_MILLISECONDS);
    const teams = [...new Set([...before.demand.keys(), ...newest.demand.keys()])];
    const rateOf = (team: string): number =>
        (newest.demand.get(team) ?? 0) * (1 - decay) + (before.demand.get(team) ?? 0) * decay;
    // A team without demand is dropped once its average is negligible.
    const rates = teams.map(team => [team, rateOf(team)] as const).filter(([, rate]) => rate > 1e-3);
    return { demand: new Map(rates), at: newest.at };
}

/** Returns the demand to advertise: the previous value for each team whose average is still close to it. */
function nextAdvertised(before: Demand, average: Demand): Demand {
    const next = [...average].map(([team, rate]) => {
        const advertised = before.get(team);
        const noise = CHANGE_STANDARD_DEVIATIONS
            * Math.sqrt((advertised ?? 0) * 1_000 / AVERAGE_TIME_CONSTANT_MILLISECONDS);
        const isClose = advertised !== undefined
            && Math.abs(rate - advertised) <= Math.max(advertised * CHANGE_RATIO, noise);
        return [team, isClose ? advertised : rate] as const;
    });
    return new Map(next);
}
