/** Which models to form groups for, given so many free hosts. */
import type { ModelProfile } from "../routes/types.js";

/** Groups of one model. */
export interface ModelDemand {
    readonly profile: ModelProfile;
    /** Work for this model relative to the others. */
    readonly demand: number;
    /** Groups that the model has elsewhere. */
    readonly groups: number;
}

/**
 * Chooses how many new groups to form of each model. The load of a group is the demand of its model over the number
 * of its groups; the choice minimises the sum of demand times load. Of equal choices, the one with fewer idle hosts.
 */
export function chooseMix(demands: readonly ModelDemand[], freeHosts: number): ReadonlyMap<string, number> {
    const best = combinations(demands, freeHosts)
        .map(counts => ({ counts, cost: costOf(demands, counts), idle: freeHosts - hostsOf(demands, counts) }))
        .reduce((left, right) =>
            right.cost < left.cost || (right.cost === left.cost && right.idle < left.idle) ? right : left
        );
    return new Map(demands.map(({ profile }, index) => [profile.name, best.counts[index] ?? 0]));
}

/** A model without any group must not be left so; a group that cannot be reached costs more than any load. */
const NO_GROUP_COST = 1_000;

function costOf(demands: readonly ModelDemand[], counts: readonly number[]): number {
    return demands.reduce((sum, { demand, groups }, index) => {
        const total = groups + (counts[index] ?? 0);
        return sum + (total === 0 ? demand * NO_GROUP_COST : demand * demand / total);
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
