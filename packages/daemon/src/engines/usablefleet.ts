/** The part of a fleet whose groups may get requests. */
import type { EngineProfile } from "@damaskvale/core";
import { countGroupsByModel, type FleetView, withoutDomains } from "./fleetviews.js";
import type { ObservedFleet } from "./reassignments.js";

/**
 * Returns the fleet without evacuated domains, whose groups get no requests and are kept for their return. `groupsByModel`
 * counts the groups of all domains; they are counted anew only if a domain is evacuated.
 */
export function usableFleet(
    view: FleetView,
    { ownHosts, groupsByModel }: Omit<ObservedFleet, "hostsByDomain">,
    { models }: EngineProfile,
    isEvacuated: (dataCentre: string) => boolean,
): ObservedFleet {
    const usable = withoutDomains(view, hosts => hosts.some(({ dataCentre }) => isEvacuated(dataCentre)));
    if (usable.hostsByDomain.size === view.hostsByDomain.size) {
        return { hostsByDomain: view.hostsByDomain, ownHosts, groupsByModel };
    }
    const ownUsable = new Map([...ownHosts].filter(([domain]) => usable.hostsByDomain.has(domain)));
    const ownTargets = new Map(
        [...ownUsable].map(([domain, hosts]) => [domain, hosts.map(({ target }) => target)]),
    );
    return {
        hostsByDomain: usable.hostsByDomain,
        ownHosts: ownUsable,
        groupsByModel: countGroupsByModel(usable, ownTargets, models),
    };
}
