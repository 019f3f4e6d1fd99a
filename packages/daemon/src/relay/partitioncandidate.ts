/** Decides whether this daemon shares the planners' partitions, so that few daemons of a large fleet renew a lease. */
import { isPartitionCandidate } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";

/** What the decision is made from. */
export interface PartitionCandidateParts {
    readonly clock: Clock;
    readonly daemon: string;
    readonly partitionCount: number;
    /** Names of the other daemons that are known to run. */
    readonly running: () => readonly string[];
    /** Names of the other daemons that have announced themselves, some of which may have stopped. */
    readonly announced: () => readonly string[];
}

/** All daemons may start together. They announce themselves within this time, and until then each would be a candidate. */
const ANNOUNCEMENT_MILLISECONDS = 500;

/** Creates the decision of a daemon that starts now. While no other daemon is known to run, the announced ones count. */
export function createPartitionCandidate(parts: PartitionCandidateParts): () => boolean {
    const { clock, daemon, partitionCount, running, announced } = parts;
    const startedAt = clock.monotonic();
    return () => {
        const known = running();
        const others = known.length > 0 ? known : announced();
        const hasSettled = clock.monotonic() - startedAt >= ANNOUNCEMENT_MILLISECONDS;
        return hasSettled && isPartitionCandidate(daemon, others, partitionCount);
    };
}
