/** Port to the engines of hosts, for orders and reports. */
import type { EngineOrder, Target } from "@damaskvale/core";

/**
 * Result of an order. `already-holds`: the engine is already in the ordered state. `conflict`: the order does not match
 * the state of the engine. `outdated`: the engine has seen a higher fencing token or, if the order is to join, a higher epoch;
 * which of the two is not told. `misdirected`: another engine, or another process of
 * the same one, responds at the address. `rejected`: any other refusal. `unanswered`: the order may have been accepted, or
 * may still be executed later.
 */
export type OrderResult =
    | "accepted"
    | "already-holds"
    | "conflict"
    | "outdated"
    | "misdirected"
    | "rejected"
    | "unanswered";

/** Preconditions of an order, so that orders from a previous owner and delayed duplicates have no effect. */
export interface OrderGuard {
    readonly fencingToken: number;
    /** Number of orders that the engine must have accepted before this one. */
    readonly expectedSequence: number;
}

/** State of an engine, as it reports it. */
export interface EngineReport extends
    Pick<
        Target,
        "startedAt" | "stagedModels" | "model" | "busy" | "membership"
    >
{
    /** Number of orders that the engine has accepted since its start. */
    readonly orderSequence: number;
    readonly waiting: number;
    readonly running: number;
    /** Factor on the times of the engine's profile; above 1, the engine is slower. */
    readonly pace: number;
}

/** Client for orders to engines and for their reports. */
export interface EngineControl {
    order(target: Target, order: EngineOrder, guard: OrderGuard): Promise<OrderResult>;
    /** Requests the report of an engine; resolves to `undefined` if it does not respond in time. */
    report(target: Target): Promise<EngineReport | undefined>;
}
