/** Which models to form groups for, given so many free hosts. */
import type { ModelProfile } from "../routes/types.js";

/** Groups of one model. */
export interface ModelDemand {
    readonly profile: ModelProfile;
    /** Work for this model, in any unit that is the same for all models. */
    readonly demand: number;
    /** Groups that the model has elsewhere. */
    readonly groups: number;
    /** Free hosts that hold its weights. */
    readonly holders: number;
}

/** Hosts that can form groups. */
export interface FreeHosts {
    readonly count: number;
    /** Hosts of these that hold no weights. */
    readonly empty: number;
    /** Loads from the weight store that may start now. */
    readonly loadsAllowed: number;
}

/**
 * Chooses how many new groups to form of each model. The load of a group is the demand of its model over the number
 * of its groups; the choice minimises the sum of demand times load to a power. A group whose members hold other weights must gain
 * more than one that can serve at once. Of equal choices, the one with fewer idle hosts.
 */
export function chooseMix(
    absoluteDemands: readonly ModelDemand[],
    free: FreeHosts,
): ReadonlyMap<string, number> {
    const demands = toShares(absoluteDemands);
    const best = combinations(demands, free.count)
        .filter(counts => loadsOf(demands, counts) <= free.loadsAllowed)
        .map(counts => ({
            counts,
            cost: costOf(demands, counts) * (1 + RELOAD_COST * reloadedGroups(demands, counts, free)),
            idle: free.count - hostsOf(demands, counts),
        }))
        .reduce((left, right) =>
            right.cost < left.cost || (right.cost === left.cost && right.idle < left.idle) ? right : left
        );
    return new Map(demands.map(({ profile }, index) => [profile.name, best.counts[index] ?? 0]));
}

/** Demands as shares of their sum, so that costs do not depend on the unit in which they are told. */
function toShares(demands: readonly ModelDemand[]): ModelDemand[] {
    const total = demands.reduce((sum, { demand }) => sum + demand, 0);
    return demands.map(entry => ({ ...entry, demand: total > 0 ? entry.demand / total : 1 / demands.length }));
}

/** Cost of a group whose members drop the weights that they hold, as a share of the cost of all load. */
const RELOAD_COST = 0.02;

/** Hosts that must load the weights of the model of their group. */
function loadsOf(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce(
        (sum, { profile, holders }, index) => sum + Math.max(0, profile.size * (counts[index] ?? 0) - holders),
        0,
    );
}

/** Groups that cannot be formed without hosts that hold the weights of another model. */
function reloadedGroups(demands: readonly ModelDemand[], counts: readonly number[], { empty }: FreeHosts): number {
    const reloading = Math.max(0, loadsOf(demands, counts) - empty);
    const smallest = Math.min(...demands.map(({ profile }) => profile.size));
    return Math.ceil(reloading / smallest);
}

/** Power with which the load of a group counts, so that the model with the busiest groups decides. */
const LOAD_POWER = 3;
/** A model without any group must not be left so; a group that cannot be reached costs more than any load. */
const NO_GROUP_COST = 1_000;

function costOf(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, { demand, groups }, index) => {
        const total = groups + (counts[index] ?? 0);
        return sum + (total === 0 ? demand * NO_GROUP_COST : demand * (demand / total) ** LOAD_POWER);
    }, 0);
}

function hostsOf(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, { profile }, index) => sum + profile.size * (counts[index] ?? 0), 0);
}

function combinations(demands: readonly ModelDemand[], freeHosts: number): number[][] {
    const [first, ...rest] = demands;
    if (first === undefined) {
        return [[]];
    }
    const most = Math.floor(freeHosts / first.profile.size);
    return Array.from({ length: most + 1 }, (...[, count]) => count).flatMap(count =>
        combinations(rest, freeHosts - count * first.profile.size).map(counts => [count, ...counts])
    );
}
