/** Leases on groups: the one of this daemon and the expiry of others. Times are monotonic milliseconds. */
import {
    type GroupsState,
    type HeldGroup,
    holderKeyOf,
    LEASE_MARGIN_MILLISECONDS,
    LEASE_MILLISECONDS,
    ORDER_DEADLINE_MILLISECONDS,
    renewalOf,
} from "@damaskvale/core";

/** Lease of this daemon. It starts before the record that renewed it was sent. */
export class OwnLease {
    private validUntil = Number.NEGATIVE_INFINITY;

    /** Extends the lease after an accepted record whose first attempt was sent at `sentAt`. */
    recordRenewal(sentAt: number): void {
        this.validUntil = Math.max(this.validUntil, sentAt + LEASE_MILLISECONDS);
    }

    /** Returns whether the lease is still valid at `now`. */
    isValid(now: number): boolean {
        return now < this.validUntil;
    }
}

interface SeenRenewal {
    readonly key: string;
    readonly seenAt: number;
}

/** Tracks the leases of other holders, which start when their renewals were read. */
export class PeerLeases {
    private renewals: ReadonlyMap<string, SeenRenewal> = new Map();

    /** Updates the leases with the state that was read at `now`. */
    update(state: GroupsState, now: number): void {
        this.renewals = new Map(
            Object.values(state.groups).map(group => {
                const key = JSON.stringify([holderKeyOf(group), group.fence, renewalOf(state, group)?.offset]);
                const previous = this.renewals.get(group.group);
                return [group.group, previous?.key === key ? previous : { key, seenAt: now }];
            }),
        );
    }

    /**
     * Returns whether the holder of a group can no longer have an order in effect: its lease has expired since its
     * newest renewal was read, an order sent at the last moment is past its deadline, and the margin for clock drift has
     * passed.
     */
    hasExpired(state: GroupsState, group: HeldGroup, now: number): boolean {
        const lease = renewalOf(state, group)?.durationMilliseconds ?? LEASE_MILLISECONDS;
        const seenAt = this.renewals.get(group.group)?.seenAt;
        return seenAt !== undefined && now - seenAt >= lease + ORDER_DEADLINE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS;
    }
}
