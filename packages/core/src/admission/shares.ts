/**
 * Shares of the teams' limits. Every daemon computes its own share from the demand of all daemons, without consensus.
 *
 * Bound: a daemon uses the minimum of the demand that it advertised within the window, and the maximum that each peer
 * reported within the window. The demand that one daemon assumes for another is therefore never lower than the demand
 * that the other assumes for itself, so the shares of daemons that receive each other's reports within the window add
 * up to at most the limit. A daemon that reaches only some of its peers divides only the corresponding part of the
 * limit: if a partition splits the daemons into sides whose members reach each other, the sum still does not exceed the
 * limit. If reachability is not mutual, `PARTITIONED_SHARE_FACTOR` bounds the share of a daemon that misses peers: with
 * k such daemons of n, the sum is at most limit x (1 + 2k / n).
 * Concurrency is rounded down but is at least 1, which adds at most 1 per daemon.
 */
import type { TeamShare } from "./types.js";

/** Fraction of each limit that is divided evenly, so that a daemon without demand can admit requests immediately. */
export const FLOOR_SHARE = 0.1;
/** A daemon that does not reach all peers takes at most this multiple of its even share. */
export const PARTITIONED_SHARE_FACTOR = 2;
/** Requests per second added to the demand of each daemon, so that the shares of an idle team are even. */
const ASSUMED_DEMAND_PER_SECOND = 0.1;

/** Limits of one team in the table, for all daemons together. */
export type TeamLimit = TeamShare;

/** Input of `computeShares`. Demand is in requests per second of each team. */
export interface ShareInput {
    readonly limits: readonly TeamLimit[];
    /** Minimum demand of this daemon within the window. */
    readonly own: ReadonlyMap<string, number>;
    /** Maximum demand within the window of each peer that reported within it. */
    readonly others: readonly ReadonlyMap<string, number>[];
    /** Number of all daemons that may be serving, including this one and peers that did not report. */
    readonly knownDaemons: number;
}

/** Computes this daemon's share of the limits of each team. */
export function computeShares({ limits, own, others, knownDaemons }: ShareInput): TeamShare[] {
    const reachableDaemons = others.length + 1;
    const knownCount = Math.max(reachableDaemons, knownDaemons);
    return limits.map(limit => {
        const demand = {
            own: own.get(limit.team) ?? 0,
            others: others.reduce((sum, demands) => sum + (demands.get(limit.team) ?? 0), 0),
            reachableDaemons,
        };
        const demandShare = reachableDaemons / knownCount
            * fractionOf(demand, limit.requestsPerSecond, reachableDaemons / knownCount);
        const fraction = reachableDaemons < knownCount
            ? Math.min(demandShare, PARTITIONED_SHARE_FACTOR / knownCount)
            : demandShare;
        return scale(limit, fraction);
    });
}

interface TeamDemand {
    readonly own: number;
    readonly others: number;
    readonly reachableDaemons: number;
}

/** Fraction of the limit that the reachable daemons share. Without a rate there is no surplus to divide. */
function fractionOf(demand: TeamDemand, rate: number | undefined, reachablePart: number): number {
    const divided = rate === undefined
        ? demandFraction(demand)
        : surplusFraction(demand, rate * reachablePart * (1 - FLOOR_SHARE));
    return FLOOR_SHARE / demand.reachableDaemons + (1 - FLOOR_SHARE) * divided;
}

/** Divides the rate by demand, or, if it exceeds the total demand, meets the demand and divides the rest evenly. */
function surplusFraction({ own, others, reachableDaemons }: TeamDemand, rate: number): number {
    const total = own + others;
    return total < rate ? (own + (rate - total) / reachableDaemons) / rate : own / total;
}

function demandFraction({ own, others, reachableDaemons }: TeamDemand): number {
    return (own + ASSUMED_DEMAND_PER_SECOND) / (own + others + reachableDaemons * ASSUMED_DEMAND_PER_SECOND);
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
