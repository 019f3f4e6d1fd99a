/** Input of the planner of a domain. */
import type { ModelProfile } from "../routes/types.js";
import type { GrantedReassignment } from "./starvation.js";
import type { Target } from "./types.js";

/** State of one host as the planner sees it. */
export interface EngineHost {
    readonly target: Target;
    /**
     * Number of orders that the engine had accepted when the membership shown by `target` held; absent while it is unknown. An
     * order that is made from this state expects this number.
     */
    readonly orderSequence?: number;
    /** Whether the effect of an order has not been observed yet. */
    readonly orderPending: boolean;
    /**
     * Latest time at which the engine certainly had the membership shown by `target`, as it stated itself to this daemon, in monotonic
     * milliseconds; absent while it is unknown.
     */
    readonly statedAt?: number;
    /** Whether the host does not answer this daemon. Such a host gets no orders, but may still serve. */
    readonly unreachable: boolean;
    /** Whether the host counts as lost even if it is registered, for example if another process has its address. */
    readonly lost: boolean;
    /** Whether the registry entry of an answering host has been missing for too long to reappear by itself. */
    readonly lapsed: boolean;
    /** When the host was first seen, in monotonic milliseconds. */
    readonly knownSince: number;
}

/** Input of one round of planning. */
export interface DomainPlanInput {
    readonly domain: string;
    readonly hosts: readonly EngineHost[];
    readonly models: readonly ModelProfile[];
    /** Groups of each model that serve or are being formed in all domains. */
    readonly groupsByModel: ReadonlyMap<string, number>;
    /** Work requested of each model, relative to the others. */
    readonly demandByModel: ReadonlyMap<string, number>;
    /** Group of a model without any that this domain is to form, if it is this domain's turn. */
    readonly reassignment?: GrantedReassignment;
    /** Number of loads from the weight store that may start now. */
    readonly loadsAllowed: number;
    /** Number of loads that may start within the next seconds. */
    readonly loadsAllowedSoon: number;
    /** Whether loads are so short that members of a new group load weights while they join. */
    readonly loadsAreQuick: boolean;
    /** Maximum difference between the times at which two hosts are seen that registered at the same time. */
    readonly registryDelayMilliseconds: number;
    /** Fencing token of the daemon that owns the domain. */
    readonly fencingToken: number;
    /** Lowest epoch above all epochs seen so far. */
    readonly nextEpoch: number;
    /** Monotonic milliseconds. */
    readonly now: number;
}
