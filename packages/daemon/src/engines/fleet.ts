/** Domains and groups of the hosts of a service, as the registry shows them. */
import { collectGroups, countCompleteGroups } from "@damaskvale/core";
import type { RelayState } from "../relay/state.js";

/** Significant digits of demands in the log. */
const DEMAND_DIGITS = 3;

/** Returns the fabric domains of the hosts of a service. */
export function domainsOf(state: RelayState, service: string): string[] {
    const domains = state.targets().filter(target => target.service === service).map(target => target.domain);
    return [...new Set(domains)].filter(domain => domain !== undefined);
}

/** Counts the complete groups of each model of a service in all domains. */
export function countGroups(state: RelayState, service: string): Map<string, number> {
    const engine = state.lookup()?.findService(service)?.engine;
    const targets = state.targets().filter(target => target.service === service);
    return countCompleteGroups(collectGroups(targets, engine?.models ?? []));
}

/** Returns the key of the hosts of a service in one domain. */
export function fleetKey(service: string, domain: string): string {
    return JSON.stringify([service, domain]);
}

/** Rounds a demand for the log. */
export function roundDemand(demand: number): number {
    return Number(demand.toPrecision(DEMAND_DIGITS));
}
