/** Types that the parts of the simulated fleet share. */
import type { GroupMembership } from "@damaskvale/core";

/** What an engine states of itself, in its registry entry and in its reports. */
export interface EngineStatement {
    readonly id: string;
    readonly startedAt?: number;
    readonly address: string;
    readonly draining: boolean;
    readonly model?: string;
    readonly stagedModels: readonly string[];
    readonly busy: boolean;
    readonly membership?: GroupMembership;
}

/** Registry entry of an engine. */
export interface EngineEntry extends EngineStatement {
    /** Number of the write, which rises with each write of the process. */
    readonly heartbeat: number;
}

/** Kinds of disturbances. */
export type FaultKind =
    | "lateReads"
    | "pastRead"
    | "lateWrites"
    | "cutFromStore"
    | "cutFromDaemons"
    | "handover"
    | "overlap"
    | "lostOrders"
    | "lateOrders"
    | "lostReports"
    | "lostMessages"
    | "lateMessages"
    | "kill"
    | "drain";

/** One disturbance of a scenario. Its details follow from the seed of the scenario. */
export interface Fault {
    readonly kind: FaultKind;
    /** Milliseconds since the start. */
    readonly at: number;
    readonly milliseconds: number;
    /** Number from which the daemon or the host is chosen. */
    readonly subject: number;
}

/** Random numbers of a scenario. */
export interface Random {
    /** Returns an integer between both bounds, which are included. */
    between(lowest: number, highest: number): number;
    chance(probability: number): boolean;
}
