/** Holds this daemon's membership in the partition group and knows whether its lease is still valid. */
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { type PartitionGroup, type PartitionShare, StoreError } from "../ports/registry.js";
import { sleep } from "./sleep.js";

/** The lease on partitions. */
export interface PartitionLease {
    /** Share that is valid now, or `undefined` if the lease lapsed or was never granted. */
    current(): PartitionShare | undefined;
    /** Leaves the group, so that the partitions go to others at once. */
    stop(): Promise<void>;
}

/** What the lease works with. */
export interface PartitionLeaseParts {
    readonly group: PartitionGroup;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly leaseMilliseconds: number;
    /**
     * How long the share counts on after the lease while the store does not answer. Another daemon may own the
     * partitions by then, so that this must be 0 unless the receivers of orders refuse old fencing tokens.
     */
    readonly extensionMilliseconds: number;
}

/** Renewals in one lease, so that one lost answer does not end it. */
const RENEWALS_PER_LEASE = 4;
/** A partition passes on when its holder has renewed with the new token, so that holders renew soon after a change. */
const HANDOVER_MILLISECONDS = 120;
/** The lease counts as lapsed this long before its end, for orders that are on their way. */
const LEASE_MARGIN_MILLISECONDS = 600;

/** Starts to hold the lease. */
export function startPartitionLease(parts: PartitionLeaseParts): PartitionLease {
    const { group, clock, log, leaseMilliseconds } = parts;
    let stopped = false;
    let share: PartitionShare | undefined;
    let validUntil = 0;

    /** Renews once; returns whether the share changed. */
    const renewOnce = async (): Promise<boolean> => {
        const sentAt = clock.monotonic();
        const next = await group.renew(leaseMilliseconds, share?.fencingToken ?? 0);
        const changed = next.fencingToken !== share?.fencingToken;
        if (changed) {
            log.emit("partitionsChanged", { ...next });
        }
        share = next;
        validUntil = sentAt + leaseMilliseconds - LEASE_MARGIN_MILLISECONDS;
        return changed;
    };
    const run = async (): Promise<void> => {
        while (!stopped) {
            let changed = false;
            try {
                changed = await renewOnce();
            }
            catch (error) {
                if (!(error instanceof StoreError)) {
                    throw error;
                }
                if (share !== undefined && clock.monotonic() > validUntil + parts.extensionMilliseconds) {
                    share = undefined;
                    log.emit("partitionsLapsed", { reason: error.message });
                }
            }
            await sleep(changed ? HANDOVER_MILLISECONDS : leaseMilliseconds / RENEWALS_PER_LEASE);
        }
    };
    run().catch((error: unknown) => log.emit("taskFailed", { task: "partition lease", error }));
    return {
        current: () => clock.monotonic() < validUntil + parts.extensionMilliseconds ? share : undefined,
        stop: async () => {
            stopped = true;
            share = undefined;
            validUntil = 0;
            try {
                await group.leave();
            }
            catch (error) {
                log.emit("storeLost", { topic: "partition group", reason: String(error) });
            }
        },
    };
}
