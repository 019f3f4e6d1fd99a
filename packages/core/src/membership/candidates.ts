/** Choice of the daemons that share the partitions of a topic, so that not every daemon of a large fleet renews a lease. */
import { rendezvous } from "./rendezvous.js";

/**
 * Returns whether a daemon is one of as many candidates as there are partitions; `others` are the other daemons that run. The
 * partitions of a lost candidate go to the remaining ones as soon as its lease has ended.
 */
export function isPartitionCandidate(self: string, others: readonly string[], partitions: number): boolean {
    return others.length < partitions || rendezvous("partitions", [self, ...others], partitions).includes(self);
}
