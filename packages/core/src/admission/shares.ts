/**
 * Shares of the teams' limits. Every daemon computes its own share from the demand of all daemons, without agreement.
 *
 * Bound: a daemon counts the least demand that it stated itself within the window, and the greatest that it heard of
 * each other daemon within the window. What one daemon counts for another is therefore never below what that daemon
 * counts for itself, so the shares of daemons that hear each other within the window add up to at most the limit.
 * Daemons that hear only part of the others divide only that part of the limit: in a partition into sides that hear
 * each other, the sum stays at most the limit. When hearing is not mutual, `CUT_OFF_FACTOR` bounds the share of a
 * daemon that misses others, so that with k such daemons of n the sum is at most limit x (1 + 2k / n).
 * Concurrency is rounded down but at least 1, which adds at most 1 for each daemon.
 */
import type { TeamShare } from "./types.js";

/** Share of each limit that is divided evenly, so that a daemon without demand can start at once. */
export const FLOOR_SHARE = 0.1;
/** A daemon that misses others takes at most this many times its even share. */
export const PARTITIONED_SHARE_FACTOR = 2;
/** Requests a second added to the demand of each daemon, so that shares of an idle team are even. */
const ASSUMED_DEMAND_PER_SECOND = 0.1;

/** Limits of one team in the table, for the whole system. */
export type TeamLimit = TeamShare;

/** Demand as `computeShares` takes it, in requests a second of each team. */
export interface ShareInput {
    readonly limits: readonly TeamLimit[];
    /** Least demand of this daemon within the window. */
    readonly own: ReadonlyMap<string, number>;
    /** Greatest demand within the window of each other daemon that was heard within it. */
    readonly others: readonly ReadonlyMap<string, number>[];
    /** All daemons that may be serving, this one included, whether they are heard or not. */
    readonly knownDaemons: number;
}

/** Computes this daemon's share of the limits of each team. */
export function computeShares({ limits, own, others, knownDaemons }: ShareInput): TeamShare[] {
    const heard = others.length + 1;
    const known = Math.max(heard, knownDaemons);
    return limits.map(limit => {
        const demand = {
            own: own.get(limit.team) ?? 0,
            others: others.reduce((sum, demands) => sum + (demands.get(limit.team) ?? 0), 0),
            heard,
        };
        const wanted = heard / known * fractionOf(demand, limit.requestsPerSecond, heard / known);
        const fraction = heard < known ? Math.min(wanted, PARTITIONED_SHARE_FACTOR / known) : wanted;
        return scale(limit, fraction);
    });
}

interface Demand {
    readonly own: number;
    readonly others: number;
    readonly heard: number;
}

/** Fraction of the limit of the daemons that are heard. Without a rate there is no surplus to divide. */
function fractionOf(demand: Demand, rate: number | undefined, part: number): number {
    const divided = rate === undefined ? proportion(demand) : surplusFraction(demand, rate * part * (1 - FLOOR_SHARE));
    return FLOOR_SHARE / demand.heard + (1 - FLOOR_SHARE) * divided;
}

/** Demand that fits is met, and the rest of the rate is divided evenly; else the rate is divided by demand. */
function surplusFraction({ own, others, heard }: Demand, rate: number): number {
    const total = own + others;
    return total < rate ? (own + (rate - total) / heard) / rate : own / total;
}

function proportion({ own, others, heard }: Demand): number {
    return (own + ASSUMED_DEMAND_PER_SECOND) / (own + others + heard * ASSUMED_DEMAND_PER_SECOND);
}

function scale(limit: TeamLimit, fraction: number): TeamShare {
    const { requestsPerSecond, tokensPerSecond, concurrency } = limit;
    return {
        team: limit.team,
        weight: limit.weight,
        queueLength: limit.queueLength,
        ...(requestsPerSecond === undefined ? {} : { requestsPerSecond: requestsPerSecond * fraction }),
        ...(tokensPerSecond === undefined ? {} : { tokensPerSecond: tokensPerSecond * fraction }),
        ...(concurrency === undefined ? {} : { concurrency: Math.max(1, Math.floor(concurrency * fraction + 1e-9)) }),
    };
}
