/** Renews this daemon's lease in the partition group and tracks whether it is still valid. */
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import { type PartitionAssignment, type PartitionGroup, StoreError } from "../ports/registry.js";
import { sleep } from "./sleep.js";

/** Lease on the partitions that are assigned to this daemon. */
export interface PartitionLease {
    /** Returns the share that is valid now, or `undefined` if the lease has expired or was never granted. */
    current(): PartitionAssignment | undefined;
    /** Returns whether the store confirmed the current share in answer to a renewal sent after `time` (monotonic milliseconds). */
    confirmedSince(time: number): boolean;
    /** Ends the lease at once, because the store no longer knows it. The next renewal acquires another one. */
    invalidate(reason: string): void;
    /** Leaves the group, so that its partitions are reassigned at once. */
    stop(): Promise<void>;
}

/** Options of the lease. */
export interface PartitionLeaseOptions {
    readonly group: PartitionGroup;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly leaseMilliseconds: number;
    /**
     * How long the share stays valid after the lease while the store does not answer. Another daemon may own the
     * partitions by then, so this must be 0 unless the receivers of orders reject old fencing tokens.
     */
    readonly extensionMilliseconds: number;
    /** Returns whether the store gave a token out in its current era. A lease of an earlier era is not used. */
    readonly isOfCurrentEra: (fencingToken: number) => boolean;
    /**
     * Whether this daemon should share the partitions. One that should not, and holds none, stops to renew, so that a large
     * fleet makes few calls.
     */
    readonly isCandidate: () => boolean;
}

/** Renewals within one lease, so that a single lost answer does not end it. */
const RENEWALS_PER_LEASE = 4;
/** A partition is handed over once its holder has renewed with the new token, so holders renew soon after a change. */
const HANDOVER_RENEWAL_MILLISECONDS = 120;
/** The lease counts as expired this long before its end, to cover orders in flight. */
const LEASE_MARGIN_MILLISECONDS = 600;

/** Starts to acquire and renew the lease. */
export function startPartitionLease(options: PartitionLeaseOptions): PartitionLease {
    const { group, clock, log, leaseMilliseconds } = options;
    let stopped = false;
    let share: PartitionAssignment | undefined;
    let validUntil = 0;
    let confirmedAt = Number.NEGATIVE_INFINITY;

    /** Renews once; returns whether the share changed. A renewal that ends after the lease was left gives no share. */
    const renewOnce = async (): Promise<boolean> => {
        const sentAt = clock.monotonic();
        const next = await group.renew(leaseMilliseconds, share?.fencingToken ?? 0);
        if (stopped) {
            return false;
        }
        if (!options.isOfCurrentEra(next.fencingToken)) {
            throw new StoreError("refused", "The assignment belongs to an earlier era of the store.");
        }
        const changed = next.fencingToken !== share?.fencingToken;
        if (changed) {
            log.emit("partitionsChanged", { ...next });
        }
        share = next;
        confirmedAt = sentAt;
        validUntil = sentAt + leaseMilliseconds - LEASE_MARGIN_MILLISECONDS;
        return changed;
    };
    const isNeeded = (): boolean => options.isCandidate() || (share?.partitions.length ?? 0) > 0;
    const run = async (): Promise<void> => {
        while (!stopped) {
            let changed = false;
            try {
                changed = isNeeded() && await renewOnce();
            }
            catch (error) {
                // Any other error is a fault of this program; the lease is renewed further nonetheless.
                if (!(error instanceof StoreError)) {
                    log.emit("taskFailed", { task: "partition lease", error });
                }
                if (share !== undefined && clock.monotonic() > validUntil + options.extensionMilliseconds) {
                    share = undefined;
                    log.emit("partitionsLapsed", { reason: error instanceof Error ? error.message : String(error) });
                }
            }
            await sleep(changed ? HANDOVER_RENEWAL_MILLISECONDS : leaseMilliseconds / RENEWALS_PER_LEASE);
        }
    };
    void run();
    return {
        invalidate: reason => {
            if (share !== undefined) {
                share = undefined;
                validUntil = 0;
                log.emit("partitionsLapsed", { reason });
            }
        },
        confirmedSince: time => share !== undefined && confirmedAt > time,
        current: () => clock.monotonic() < validUntil + options.extensionMilliseconds ? share : undefined,
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
