/** Types of targets and of the groups that hosts with engines form. */

/** State of a host within its group. Only the head of a group is ever open or closing. */
export type MembershipState = "joining" | "ready" | "open" | "closing" | "broken";

/** Membership of a host in a group. */
export interface GroupMembership {
    readonly group: string;
    /** Higher epochs replace lower ones. */
    readonly epoch: number;
    /** Rank 0 is the head, to which requests are sent. */
    readonly rank: number;
    readonly state: MembershipState;
}

/** A target as registered on the platform: a plain server, or a host with an engine. */
export interface Target {
    /** Identity of the target; another target may take over its address. */
    readonly id: string;
    readonly service: string;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /**
     * Whether the target is registered now. A target whose entry lapsed may still run, but gets no requests; a host may
     * continue as a member of a group.
     */
    readonly registered: boolean;
    /** Requests that the target processes at once. */
    readonly slots: number;
    /** Start of the process in Unix milliseconds, if reported. A restart under the same id loses all state. */
    readonly startedAt?: number;
    /** Fabric domain of the host, if it has an engine. */
    readonly domain?: string;
    /** Models whose weights the host holds. */
    readonly stagedModels: readonly string[];
    /** Model that the engine runs or last ran, if reported. */
    readonly model?: string;
    /** Whether an order is in progress. */
    readonly busy: boolean;
    /** Number of the registry entry, which rises with each one that the process writes. */
    readonly entryNumber: number;
    /**
     * How long the process stays cold, counted from when the entry was read; 0 if the entry states that it is warm, absent if
     * it states nothing.
     */
    readonly coldMilliseconds?: number;
    readonly membership?: GroupMembership;
    /** Epoch of the last group that the process is known to have left. */
    readonly leftEpoch?: number;
}
