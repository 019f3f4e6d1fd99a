/** Types of targets and of the groups that hosts with engines form. */

/** State of a host within its group. Only the head of a group opens and closes. */
export type MembershipState = "joining" | "ready" | "open" | "closing" | "broken";

/** GroupMembership of a host in a group. */
export interface GroupMembership {
    readonly group: string;
    /** Higher epochs replace lower ones. */
    readonly epoch: number;
    /** 0 is the head, to which requests are sent. */
    readonly rank: number;
    readonly state: MembershipState;
}

/** A target as it is registered on the platform: a plain server, or a host with an engine. */
export interface Target {
    /** Identity of the target; the same address may be taken over by another target. */
    readonly id: string;
    readonly service: string;
    /** IP and port. */
    readonly address: string;
    readonly dataCentre: string;
    readonly draining: boolean;
    /**
     * Whether the target is registered now. One whose entry lapsed may still run, but gets no requests; a host may go on
     * as a member of a group.
     */
    readonly registered: boolean;
    /** Requests that the target processes at once. */
    readonly slots: number;
    /** Start of the process in Unix milliseconds, if stated. A restart under the same id forgets everything. */
    readonly startedAt?: number;
    /** Fabric domain of the host, if it has an engine. */
    readonly domain?: string;
    /** Models whose weights the host holds. */
    readonly stagedModels: readonly string[];
    /** Model that the engine runs or last ran, if any. */
    readonly model?: string;
    /** Whether an order is in progress. */
    readonly busy: boolean;
    /** Orders that the engine has accepted since its start. */
    readonly orderSequence: number;
    readonly membership?: GroupMembership;
}
