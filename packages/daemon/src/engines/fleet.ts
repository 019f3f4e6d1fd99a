/** Keys, partitions and figures of the fleets for which this daemon plans. */
import type { EngineHost } from "@damaskvale/core";
import { createHash } from "node:crypto";

/** Significant digits of demands in the log. */
const DEMAND_DIGITS = 3;

/** Returns the key of the hosts of a service in one domain. */
export function fleetKey(service: string, domain: string): string {
    return JSON.stringify([service, domain]);
}

/** Rounds a demand for the log. */
export function roundDemand(demand: number): number {
    return Number(demand.toPrecision(DEMAND_DIGITS));
}

/** Returns whether most hosts are unreachable, so that this daemon is probably partitioned from a working domain. */
export function isNetworkPartitioned(hosts: readonly EngineHost[]): boolean {
    return hosts.filter(host => host.unreachable).length * 2 > hosts.length;
}

/** Returns the partition of a domain, which is the same on every daemon. */
export function partitionOf(domain: string, partitionCount: number): number {
    return createHash("sha256").update(domain).digest().readUInt32BE(0) % partitionCount;
}
