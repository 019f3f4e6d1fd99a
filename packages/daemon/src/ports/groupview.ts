/** Port to the groups that currently accept requests. */

/** Group that all its members have confirmed within `CONFIRMATION_BOUND_MILLISECONDS`. */
export interface DispatchableGroup {
    readonly group: string;
    readonly model: string;
    readonly fence: number;
    readonly members: readonly string[];
    readonly leader: string;
    readonly leaderUrl: string;
    /** Monotonic time since which the group has been dispatchable without interruption, in milliseconds. */
    readonly readySince: number;
    /** Latest load report of the leader; `reportedAt` is in monotonic milliseconds and corrected for the report's age. */
    readonly load?: { readonly running: number; readonly queued: number; readonly reportedAt: number; };
}

/** Groups, as seen by the dispatcher. */
export interface GroupView {
    /** Returns the dispatchable groups of a model; checks the age of every confirmation at the time of the call. */
    dispatchable(model: string): readonly DispatchableGroup[];
    /** Checks one group again immediately before a request is written. */
    mayDispatch(group: string, fence: number): boolean;
    /** Returns the other data centres that have announced dispatchable groups of the model, with one daemon for each. */
    remoteDataCentres(
        model: string,
    ): readonly { readonly dataCentre: string; readonly daemon: string; readonly address: string; }[];
}
