/** Hosts of engine services by domain, computed once for all planning rounds until the registry changes again. */
import { collectGroups, countCompleteGroups, groupBy, type ModelProfile, type Target } from "@damaskvale/core";
import type { RelayState } from "../relay/statetypes.js";
import { partitionOf } from "./fleet.js";

/** Hosts of one service. */
export interface FleetView {
    /** Hosts that have a fabric domain. */
    readonly hostsByDomain: ReadonlyMap<string, readonly Target[]>;
    /** Number of complete groups of each model by domain. */
    readonly groupsByDomain: ReadonlyMap<string, ReadonlyMap<string, number>>;
}

/** Views of all services. */
export interface FleetViews {
    /** Returns the present view of a service; the same one until something changes. */
    viewOf(service: string): FleetView;
    /** Returns the domains of a view that belong to some of the partitions. */
    domainsOf(view: FleetView, partitions: readonly number[]): string[];
}

/** Creates views of the targets of a state, whose domains are hashed onto partitions. */
export function createFleetViews(
    state: Pick<RelayState, "targetsOf" | "lookup">,
    partitionCount: number,
): FleetViews {
    const views = new Map<string, { readonly targets: readonly Target[]; readonly view: FleetView; }>();
    const partitions = new Map<string, number>();
    const partitionOfDomain = (domain: string): number => {
        const partition = partitions.get(domain) ?? partitionOf(domain, partitionCount);
        partitions.set(domain, partition);
        return partition;
    };
    return {
        viewOf: service => {
            const targets = state.targetsOf(service);
            const known = views.get(service);
            if (known?.targets === targets) {
                return known.view;
            }
            const models = state.lookup()?.findService(service)?.engine?.models ?? [];
            const hostsByDomain = groupBy(
                targets.filter(({ domain }) => domain !== undefined),
                ({ domain = "" }) => domain,
            );
            const groupsByDomain = new Map(
                [...hostsByDomain].map(([domain, hosts]) => [domain, countGroups(hosts, models)]),
            );
            const view: FleetView = { hostsByDomain, groupsByDomain };
            views.set(service, { targets, view });
            return view;
        },
        domainsOf: ({ hostsByDomain }, owned) =>
            [...hostsByDomain.keys()].filter(domain => owned.includes(partitionOfDomain(domain))),
    };
}

/**
 * Counts the complete groups of each model in all domains. Own domains count with the hosts as their engines stated them, because the
 * registry shows a group later than the engines accept to join it, and the same hosts are no longer free for another one.
 */
export function countGroupsByModel(
    { groupsByDomain }: FleetView,
    ownHosts: ReadonlyMap<string, readonly Target[]>,
    models: readonly ModelProfile[],
): ReadonlyMap<string, number> {
    const counts = [...groupsByDomain].map(([domain, groups]) => {
        const hosts = ownHosts.get(domain);
        return hosts === undefined ? groups : countGroups(hosts, models);
    });
    return new Map(models.map(({ name }) => [name, counts.reduce((sum, groups) => sum + (groups.get(name) ?? 0), 0)]));
}

/** Returns a view without the fabric domains for which a condition holds. */
export function withoutDomains(
    { hostsByDomain, groupsByDomain }: FleetView,
    isLeftOut: (hosts: readonly Target[]) => boolean,
): FleetView {
    const isKept = (domain: string): boolean => !isLeftOut(hostsByDomain.get(domain) ?? []);
    return {
        hostsByDomain: new Map([...hostsByDomain].filter(([domain]) => isKept(domain))),
        groupsByDomain: new Map([...groupsByDomain].filter(([domain]) => isKept(domain))),
    };
}

function countGroups(hosts: readonly Target[], models: readonly ModelProfile[]): ReadonlyMap<string, number> {
    return countCompleteGroups(collectGroups(hosts, models));
}
