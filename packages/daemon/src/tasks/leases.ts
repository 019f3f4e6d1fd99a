/** Leases on groups: the own one, and when those of other holders have expired. Times are monotonic milliseconds. */
import {
    type GroupsState,
    type HeldGroup,
    holderKeyOf,
    LEASE_MARGIN_MILLISECONDS,
    LEASE_MILLISECONDS,
    ORDER_DEADLINE_MILLISECONDS,
    renewalOf,
} from "@damaskvale/core";

/** The lease of this daemon. It counts from before the record that renewed it was sent. */
export class OwnLease {
    private validUntil = Number.NEGATIVE_INFINITY;

    /** Notes an accepted record that was sent at `sentAt`, at its first attempt. */
    renewed(sentAt: number): void {
        this.validUntil = Math.max(this.validUntil, sentAt + LEASE_MILLISECONDS);
    }

    /** Returns whether the lease is still valid at `now`. */
    isValid(now: number): boolean {
        return now < this.validUntil;
    }
}

interface Seen {
    readonly key: string;
    readonly at: number;
}

/** Watches the leases of other holders, from when their renewals were read. */
export class ForeignLeases {
    private seen: ReadonlyMap<string, Seen> = new Map();

    /** Notes the state that was read at `now`. */
    note(state: GroupsState, now: number): void {
        this.seen = new Map(
            Object.values(state.groups).map(group => {
                const key = JSON.stringify([holderKeyOf(group), group.fence, renewalOf(state, group)?.offset]);
                const before = this.seen.get(group.group);
                return [group.group, before?.key === key ? before : { key, at: now }];
            }),
        );
    }

    /**
     * Returns whether the holder of a group can no longer have an order in effect: its lease has run out since its
     * newest renewal was read, an order sent at the last moment is past its deadline, and the margin for drift between
     * clocks has passed.
     */
    hasExpired(state: GroupsState, group: HeldGroup, now: number): boolean {
        const lease = renewalOf(state, group)?.durationMilliseconds ?? LEASE_MILLISECONDS;
        const at = this.seen.get(group.group)?.at;
        return at !== undefined && now - at >= lease + ORDER_DEADLINE_MILLISECONDS + LEASE_MARGIN_MILLISECONDS;
    }
}
