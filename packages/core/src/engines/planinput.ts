/** What the planner of a domain is given in each round. */
import type { ModelProfile } from "../routes/types.js";
import type { Target } from "./types.js";

/** What the planner knows of one host. */
export interface EngineHost {
    readonly target: Target;
    /** Whether an order was sent whose effect has not been seen yet. */
    readonly orderPending: boolean;
    /** Whether the host does not answer this daemon. It gets no orders, but may still serve. */
    readonly unreachable: boolean;
    /** Whether the host is taken as gone although it is still registered, for example as another process has its address. */
    readonly lost: boolean;
    /** Whether its entry has been missing for so long, while the host answers, that it will not come back by itself. */
    readonly lapsed: boolean;
    /** When the host was first known, in monotonic milliseconds. */
    readonly knownSince: number;
}

/** Input of one round of planning. */
export interface DomainPlanInput {
    readonly domain: string;
    readonly hosts: readonly EngineHost[];
    readonly models: readonly ModelProfile[];
    /** Groups of each model that serve or are being formed in all domains. */
    readonly groupsByModel: ReadonlyMap<string, number>;
    /** Work of each model relative to the others, for example its share of busy slots. */
    readonly demandByModel: ReadonlyMap<string, number>;
    /** Loads from the weight store that may start now. */
    readonly loadsAllowed: number;
    /** Loads that may start within some seconds. */
    readonly loadsAllowedSoon: number;
    /** Whether loads take so short that members of a new group load while they join. */
    readonly loadsAreQuick: boolean;
    /** How much later than another one a host may be seen that was registered at the same time. */
    readonly registryDelayMilliseconds: number;
    /** Token of the owner that plans. */
    readonly fencingToken: number;
    /** Lowest epoch that is above all epochs seen. */
    readonly nextEpoch: number;
    /** Monotonic milliseconds. */
    readonly now: number;
}
