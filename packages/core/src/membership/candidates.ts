/** Choice of the daemons that share the partitions of a topic, so that not every daemon of a large fleet renews a lease. */
import { rendezvous } from "./rendezvous.js";

/** Candidates for each partition: enough for the partitions to move on at once when some of their holders are lost. */
const CANDIDATES_PER_PARTITION = 1.5;

/** Returns whether a daemon is a candidate; `others` are the other daemons that run. Without others it always is. */
export function isPartitionCandidate(self: string, others: readonly string[], partitions: number): boolean {
    const count = Math.ceil(partitions * CANDIDATES_PER_PARTITION);
    return others.length < count || rendezvous("partitions", [self, ...others], count).includes(self);
}
