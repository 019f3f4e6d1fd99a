/** Which models to form groups for, given so many free hosts. */
import type { ModelProfile } from "../routes/types.js";

/** What a choice needs to know of one model. */
export interface ModelDemand {
    readonly profile: ModelProfile;
    /** Work for this model, in any unit that is the same for all models. */
    readonly demand: number;
    /** Groups of the model in all domains. */
    readonly groups: number;
    /** Of these, the groups in the domain of the free hosts. Only hosts of their domain can replace their members. */
    readonly groupsInDomain: number;
    /** Free hosts that hold its weights or load them. */
    readonly holders: number;
}

/** Hosts that can form groups. */
export interface FreeHosts {
    readonly count: number;
    /** Hosts of these that hold no weights. */
    readonly empty: number;
    /** Loads from the weight store that may start soon. */
    readonly loadsAllowed: number;
    /** Whether loads take so short that a group is worth as much with them as without. */
    readonly loadsAreQuick: boolean;
}

/** Power with which the load of a group counts, so that the model with the busiest groups decides. */
const LOAD_POWER = 3;
/** A model without any group must not be left so; a group that cannot be reached costs more than any load. */
const NO_GROUP_COST = 1_000;
/** Part of a group's use that remains when it serves only after its members have loaded weights. */
const COLD_GROUP_VALUE = 0.5;
/** Losses of one host for which spares are kept, per second. */
const HOST_LOSSES_PER_SECOND = 1 / 150;
/** Cost of a group that could serve at once and is given up for others that load first, as a share of the whole cost. */
const GIVEN_UP_GROUP_COST = 1.5;
/** Groups with which a model counts at least that has any, so that its load stays finite. */
const MINIMUM_GROUPS = 0.1;

/**
 * Chooses how many new groups to form of each model. The load of a model is its share of the demand over the number of
 * its groups; the choice minimises the sum of share times load to a power. Groups count less while their members load,
 * and where no free host is left that could replace a lost member. A group that can serve at once is given up for others
 * only if these gain much more. Of equal choices, the one with fewer idle hosts.
 */
export function chooseGroupCounts(
    absoluteDemands: readonly ModelDemand[],
    free: FreeHosts,
): ReadonlyMap<string, number> {
    const demands = toShares(absoluteDemands);
    const best = combinations(demands, free.count)
        .filter(counts => loadsOf(demands, counts) <= free.loadsAllowed)
        .map(counts => ({
            counts,
            cost: costOf(demands, counts, free),
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

function costOf(demands: readonly ModelDemand[], counts: readonly number[], free: FreeHosts): number {
    const spares = sparesOf(demands, counts, free);
    const givenUp = demands.reduce((sum, { profile, holders }, index) => {
        const possible = Math.floor(holders / profile.size) - (counts[index] ?? 0);
        return sum + Math.max(0, possible - Math.floor((spares.holders[index] ?? 0) / profile.size));
    }, 0);
    const load = demands.reduce((sum, entry, index) => {
        const added = counts[index] ?? 0;
        if (entry.groups + added === 0) {
            return sum + entry.demand * NO_GROUP_COST;
        }
        const spared = spares.others > 0 || (spares.holders[index] ?? 0) > 0;
        return sum + entry.demand * (entry.demand / effectiveGroups(entry, added, spared, free)) ** LOAD_POWER;
    }, 0);
    return load * (1 + givenUp * GIVEN_UP_GROUP_COST);
}

/** Groups that a model has on average while hosts are lost, if so many are added. */
function effectiveGroups(
    entry: ModelDemand,
    added: number,
    spared: boolean,
    { loadsAreQuick }: FreeHosts,
): number {
    const cold = loadsAreQuick ? 0 : Math.min(added, Math.ceil(missingHolders(entry, added) / entry.profile.size));
    const missing = spared ? 0 : missingGroups(entry.profile, entry.groupsInDomain + added);
    // A member that is lost is replaced from the group that serves last.
    const valueOfMissing = cold > 0 ? COLD_GROUP_VALUE : 1;
    const effective = entry.groups + added - cold * (1 - COLD_GROUP_VALUE) - missing * valueOfMissing;
    return Math.max(effective, MINIMUM_GROUPS);
}

/**
 * Groups of a domain without a spare that on average wait for a host to load weights. One serves for the mean time between
 * losses and then waits for the load; there is one at most, because its other members are spares for the rest.
 */
function missingGroups({ size, loadMilliseconds }: ModelProfile, groups: number): number {
    const lossesPerLoad = groups * size * HOST_LOSSES_PER_SECOND * loadMilliseconds / 1_000;
    return lossesPerLoad / (1 + lossesPerLoad);
}

interface Spares {
    /** Free hosts that hold the weights of each model and are left over. */
    readonly holders: readonly number[];
    /** Free hosts without weights that are left over. */
    readonly others: number;
}

/** Hosts that are left over. Those that load other weights are taken from the empty ones, then from the most holders. */
function sparesOf(demands: readonly ModelDemand[], counts: readonly number[], { empty }: FreeHosts): Spares {
    const loads = loadsOf(demands, counts);
    const holders = demands.map(({ profile, holders: held }, index) =>
        Math.max(0, held - profile.size * (counts[index] ?? 0))
    );
    Array.from({ length: Math.max(0, loads - empty) }).forEach(() => {
        const most = holders.indexOf(Math.max(...holders));
        holders[most] = Math.max(0, (holders[most] ?? 0) - 1);
    });
    return { holders, others: Math.max(0, empty - loads) };
}

/** Hosts that must load the weights of the model of their group. */
function loadsOf(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, entry, index) => sum + missingHolders(entry, counts[index] ?? 0), 0);
}

function missingHolders({ profile, holders }: ModelDemand, groups: number): number {
    return Math.max(0, profile.size * groups - holders);
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
