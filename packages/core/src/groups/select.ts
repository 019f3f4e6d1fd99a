/** Choice of the hosts of one new group, with fabric domains, spares and the weights of the model. */
import type { RowOf } from "../table/row.js";
import type { ListedHost } from "./types.js";

/** Free hosts of one fabric domain. */
export interface DomainPool {
    readonly fabricDomain: string;
    readonly hosts: readonly ListedHost[];
}

/** What the choice depends on. */
export interface SelectInput {
    readonly pools: readonly DomainPool[];
    readonly model: RowOf<"model">;
    /** Hosts that stay free for models whose downtime weighs more. */
    readonly kept: number;
    /** Groups of the same model in each fabric domain. */
    readonly occupied: ReadonlyMap<string, number>;
}

/** Groups hosts by fabric domain, in name order. */
export function poolsOf(hosts: readonly ListedHost[]): DomainPool[] {
    const domains = [...new Set(hosts.map(host => host.fabricDomain))].toSorted();
    return domains.map(fabricDomain => ({
        fabricDomain,
        hosts: hosts.filter(host => host.fabricDomain === fabricDomain),
    }));
}

/** Returns the hosts of a new group of the model, or none if no group should be formed now. */
export function selectHosts(input: SelectInput): readonly ListedHost[] {
    const { pools, model, kept } = input;
    const free = pools.reduce((total, pool) => total + pool.hosts.length, 0);
    if (free - model.members < kept) {
        return [];
    }
    const best = pools
        .filter(pool => pool.hosts.length >= model.members)
        .map(pool => ({ pool, cost: domainCost(input, pool) }))
        .toSorted((one, other) =>
            one.cost - other.cost || one.pool.fabricDomain.localeCompare(other.pool.fabricDomain)
        )[0];
    return best === undefined ? spanningHosts(input) : best.pool.hosts.slice(0, model.members);
}

/**
 * Cost of a domain for a new group, lower is better. Downtime weighs the groups of the model that the same domain
 * failure would take, and a domain without a host left to replace a failed member. Stranded accelerators weigh the
 * hosts left over that make up no further group.
 */
function domainCost({ model, occupied }: SelectInput, pool: DomainPool): number {
    const left = pool.hosts.length - model.members;
    const groups = occupied.get(pool.fabricDomain) ?? 0;
    const together = groups / Math.max(1, model.replicas);
    const exposed = left === 0 ? 1 / model.members : 0;
    return model.downtimeWeight * (together + exposed) + model.strandedWeight * (left % model.members) / model.members;
}

/**
 * Chooses hosts across domains when no domain holds a whole group. A spanning group is slow, but a wanted replica that
 * is not formed is down; leaving its hosts free as spares costs more downtime than they save.
 */
function spanningHosts({ pools, model }: SelectInput): readonly ListedHost[] {
    // Largest domains first, so that the group spans as few domains as possible.
    return pools
        .toSorted((one, other) =>
            other.hosts.length - one.hosts.length || one.fabricDomain.localeCompare(other.fabricDomain)
        )
        .flatMap(pool => pool.hosts)
        .slice(0, model.members);
}
