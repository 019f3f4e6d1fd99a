/** Port to the groups that may be dispatched to now. */

/** Group whose members have all confirmed it within `CONFIRMATION_BOUND_MILLISECONDS`. */
export interface DispatchableGroup {
    readonly group: string;
    readonly model: string;
    readonly fence: number;
    readonly members: readonly string[];
    readonly leader: string;
    readonly leaderUrl: string;
    /** Monotonic time since which the group has been dispatchable without a break, in milliseconds. */
    readonly readySince: number;
    /** Newest load report of the leader; `reportedAt` is monotonic milliseconds, the report's own age taken off. */
    readonly load?: { readonly running: number; readonly queued: number; readonly reportedAt: number; };
}

/** Groups as the dispatcher sees them. */
export interface GroupView {
    /** Checks the age of every confirmation at the time of the call. */
    dispatchable(model: string): readonly DispatchableGroup[];
    /** Checks one group again, right before a request is written. */
    mayDispatch(group: string, fence: number): boolean;
    /** Data centres, other than this daemon's own, that told of dispatchable groups of the model, with a daemon each. */
    remoteDataCentres(
        model: string,
    ): readonly { readonly dataCentre: string; readonly daemon: string; readonly address: string; }[];
}
