/** Chooses how many new groups of each model to form from the free hosts of a domain. */
import type { ModelProfile } from "../routes/types.js";

/** Demand and supply of one model. */
export interface ModelDemand {
    readonly profile: ModelProfile;
    /** Work requested of this model, in any unit that is the same for all models. */
    readonly demand: number;
    /** Groups of the model in all domains. */
    readonly groups: number;
    /** Groups in the domain of the free hosts. Only hosts of the same domain can replace their members. */
    readonly groupsInDomain: number;
    /** Free hosts that hold or are loading the weights of the model. */
    readonly holders: number;
}

/** Hosts from which groups can be formed. */
export interface FreeHosts {
    readonly count: number;
    /** Number of these hosts that hold no weights. */
    readonly empty: number;
    /** Number of loads from the weight store that may start soon. */
    readonly loadsAllowed: number;
    /** Whether loads are so short that a group that needs them is worth as much as one that does not. */
    readonly loadsAreQuick: boolean;
}

/** Exponent of the load of a group in the cost, so that the model with the busiest groups dominates. */
const LOAD_EXPONENT = 3;
/** Cost of a model without any group, which exceeds the cost of any load, so that every model gets a group. */
const NO_GROUP_COST = 1_000;
/** Value of a group whose members must load weights before it serves, relative to one that serves at once. */
const COLD_GROUP_VALUE = 0.5;
/** Assumed rate of losses of one host, for which spares are kept: one in 150 seconds. */
const HOST_LOSSES_PER_SECOND = 1 / 150;
/** Cost of forgoing a group that could serve at once for groups that must load first, as a share of the total cost. */
const FORGONE_GROUP_COST = 1.5;
/** Least number of effective groups of a model that has any group, so that its load stays finite. */
const MINIMUM_EFFECTIVE_GROUPS = 0.1;

/**
 * Chooses how many new groups of each model to form. The load of a model is its share of the demand divided by the
 * number of its groups; the choice minimises the sum of share times load to the power of `LOAD_EXPONENT`. Groups count
 * less while their members load weights, and when no free host is left to replace a lost member. A group that can serve
 * at once is forgone only for a much larger gain. Ties go to the choice with fewer idle hosts.
 */
export function chooseGroupCounts(
    absoluteDemands: readonly ModelDemand[],
    free: FreeHosts,
): ReadonlyMap<string, number> {
    const demands = toShares(absoluteDemands);
    const best = possibleCounts(demands, free.count)
        .filter(counts => countLoads(demands, counts) <= free.loadsAllowed)
        .map(counts => ({
            counts,
            cost: costOf(demands, counts, free),
            idle: free.count - countHosts(demands, counts),
        }))
        .reduce((left, right) =>
            right.cost < left.cost || (right.cost === left.cost && right.idle < left.idle) ? right : left
        );
    return new Map(demands.map(({ profile }, index) => [profile.name, best.counts[index] ?? 0]));
}

/** Converts demands to shares of their sum, so that costs do not depend on the unit of demand. */
function toShares(demands: readonly ModelDemand[]): ModelDemand[] {
    const total = demands.reduce((sum, { demand }) => sum + demand, 0);
    return demands.map(entry => ({ ...entry, demand: total > 0 ? entry.demand / total : 1 / demands.length }));
}

/** Returns the cost of the load of a model whose groups share its part of the demand. */
export function loadCost(share: number, groups: number): number {
    return share * (share / groups) ** LOAD_EXPONENT;
}

function costOf(demands: readonly ModelDemand[], counts: readonly number[], free: FreeHosts): number {
    const spares = remainingSpares(demands, counts, free);
    const forgoneGroups = demands.reduce((sum, { profile, holders }, index) => {
        const possible = Math.floor(holders / profile.size) - (counts[index] ?? 0);
        return sum + Math.max(0, possible - Math.floor((spares.holders[index] ?? 0) / profile.size));
    }, 0);
    const load = demands.reduce((sum, entry, index) => {
        const added = counts[index] ?? 0;
        if (entry.groups + added === 0) {
            return sum + entry.demand * NO_GROUP_COST;
        }
        const hasSpare = spares.others > 0 || (spares.holders[index] ?? 0) > 0;
        return sum + loadCost(entry.demand, effectiveGroups(entry, added, hasSpare, free));
    }, 0);
    return load * (1 + forgoneGroups * FORGONE_GROUP_COST);
}

/** Returns the average number of serving groups of a model, given the rate of host losses, after `added` new groups. */
function effectiveGroups(
    entry: ModelDemand,
    added: number,
    hasSpare: boolean,
    { loadsAreQuick }: FreeHosts,
): number {
    const cold = loadsAreQuick ? 0 : Math.min(added, Math.ceil(missingHolders(entry, added) / entry.profile.size));
    const waiting = hasSpare ? 0 : groupsAwaitingLoad(entry.profile, entry.groupsInDomain + added);
    // A lost member is replaced by a member of the group that becomes ready last.
    const valueOfWaiting = cold > 0 ? COLD_GROUP_VALUE : 1;
    const effective = entry.groups + added - cold * (1 - COLD_GROUP_VALUE) - waiting * valueOfWaiting;
    return Math.max(effective, MINIMUM_EFFECTIVE_GROUPS);
}

/**
 * Returns the average number of groups of a domain without spares that wait for a host to load weights. A group serves
 * for the mean time between losses and then waits for the load. At most one group waits, because its other members are
 * spares for the rest.
 */
function groupsAwaitingLoad({ size, loadMilliseconds }: ModelProfile, groups: number): number {
    const lossesPerLoad = groups * size * HOST_LOSSES_PER_SECOND * loadMilliseconds / 1_000;
    return lossesPerLoad / (1 + lossesPerLoad);
}

interface Spares {
    /** Remaining free hosts that hold the weights, for each model. */
    readonly holders: readonly number[];
    /** Remaining free hosts without weights. */
    readonly others: number;
}

/**
 * Returns the hosts that remain free. Hosts that load other weights are taken first from those without weights, then
 * from the model with the most remaining holders.
 */
function remainingSpares(demands: readonly ModelDemand[], counts: readonly number[], { empty }: FreeHosts): Spares {
    const loads = countLoads(demands, counts);
    const holders = demands.map(({ profile, holders: held }, index) =>
        Math.max(0, held - profile.size * (counts[index] ?? 0))
    );
    Array.from({ length: Math.max(0, loads - empty) }).forEach(() => {
        const most = holders.indexOf(Math.max(...holders));
        holders[most] = Math.max(0, (holders[most] ?? 0) - 1);
    });
    return { holders, others: Math.max(0, empty - loads) };
}

/** Counts the hosts that must load the weights of their group's model. */
function countLoads(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, entry, index) => sum + missingHolders(entry, counts[index] ?? 0), 0);
}

function missingHolders({ profile, holders }: ModelDemand, groups: number): number {
    return Math.max(0, profile.size * groups - holders);
}

function countHosts(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, { profile }, index) => sum + profile.size * (counts[index] ?? 0), 0);
}

/** Returns all combinations of numbers of new groups, one number per model, for which there are enough free hosts. */
function possibleCounts(demands: readonly ModelDemand[], freeHosts: number): number[][] {
    const [first, ...rest] = demands;
    if (first === undefined) {
        return [[]];
    }
    const most = Math.floor(freeHosts / first.profile.size);
    return Array.from({ length: most + 1 }, (...[, count]) => count).flatMap(count =>
        possibleCounts(rest, freeHosts - count * first.profile.size).map(counts => [count, ...counts])
    );
}
