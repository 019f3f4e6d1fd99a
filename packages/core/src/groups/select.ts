/** Selects the hosts of one new group by fabric domains, reserved hosts and the cost weights of the model. */
import type { RowOf } from "../table/row.js";
import type { ListedHost } from "./types.js";

/** Free hosts of one fabric domain. */
export interface DomainPool {
    readonly fabricDomain: string;
    readonly hosts: readonly ListedHost[];
}

/** Input of the selection. */
export interface SelectInput {
    readonly pools: readonly DomainPool[];
    readonly model: RowOf<"model">;
    /** Number of hosts that must stay free for other models. */
    readonly reserved: number;
    /** Number of groups of the same model in each fabric domain. */
    readonly groupsByDomain: ReadonlyMap<string, number>;
}

/** Groups hosts by fabric domain, ordered by name. */
export function poolsOf(hosts: readonly ListedHost[]): DomainPool[] {
    const domains = [...new Set(hosts.map(host => host.fabricDomain))].toSorted();
    return domains.map(fabricDomain => ({
        fabricDomain,
        hosts: hosts.filter(host => host.fabricDomain === fabricDomain),
    }));
}

/** Returns the hosts of a new group of the model, or an empty list if no group should be formed now. */
export function selectHosts(input: SelectInput): readonly ListedHost[] {
    const { pools, model, reserved } = input;
    const free = pools.reduce((total, pool) => total + pool.hosts.length, 0);
    if (free - model.members < reserved) {
        return [];
    }
    const best = pools
        .filter(pool => pool.hosts.length >= model.members)
        .map(pool => ({ pool, cost: domainCost(input, pool) }))
        .toSorted((one, other) =>
            one.cost - other.cost || one.pool.fabricDomain.localeCompare(other.pool.fabricDomain)
        )[0];
    return best === undefined ? selectAcrossDomains(input) : best.pool.hosts.slice(0, model.members);
}

/**
 * Returns the cost of a domain for a new group; lower is better. The downtime weight applies to the share of replicas
 * that the same domain failure would take down, and to a domain without a host that could replace a failed member. The
 * weight of stranded accelerators applies to the remaining hosts that are too few for another group.
 */
function domainCost({ model, groupsByDomain }: SelectInput, pool: DomainPool): number {
    const remaining = pool.hosts.length - model.members;
    const groups = groupsByDomain.get(pool.fabricDomain) ?? 0;
    const colocated = groups / Math.max(1, model.replicas);
    const exposed = remaining === 0 ? 1 / model.members : 0;
    return model.downtimeWeight * (colocated + exposed)
        + model.strandedWeight * (remaining % model.members) / model.members;
}

/**
 * Selects hosts across domains when no domain has room for the group. A group that spans domains is slow, but a replica
 * that is not formed is down; keeping its hosts as spares costs more downtime than it saves.
 */
function selectAcrossDomains({ pools, model }: SelectInput): readonly ListedHost[] {
    // Largest domains first, so that the group spans as few domains as possible.
    return pools
        .toSorted((one, other) =>
            other.hosts.length - one.hosts.length || one.fabricDomain.localeCompare(other.fabricDomain)
        )
        .flatMap(pool => pool.hosts)
        .slice(0, model.members);
}
