/** Port to the engines of hosts: orders and reports. */
import type { EngineOrder, Target } from "@damaskvale/core";

/**
 * Outcome of an order. `conflict`: it does not fit the state of the engine. `fenced`: a newer owner has given orders.
 * `misdirected`: another engine, or another start of the same one, answers at the address. `rejected`: any other refusal.
 * `unanswered`: it may have been accepted, or may be carried out later.
 */
export type OrderResult =
    | "accepted"
    | "already-holds"
    | "conflict"
    | "fenced"
    | "misdirected"
    | "rejected"
    | "unanswered";

/** What goes with an order, so that an old owner or a late copy changes nothing. */
export interface OrderGuard {
    readonly fencingToken: number;
    /** Orders that the engine has accepted when this one arrives. */
    readonly expectedSequence: number;
}

/** What an engine says of itself. */
export interface EngineReport extends
    Pick<
        Target,
        "startedAt" | "stagedModels" | "model" | "busy" | "orderSequence" | "membership"
    >
{
    readonly waiting: number;
    readonly running: number;
    /** Above 1, the engine is slower than its profile. */
    readonly pace: number;
}

/** Orders to engines and their reports. */
export interface EngineControl {
    order(target: Target, order: EngineOrder, guard: OrderGuard): Promise<OrderResult>;
    /** Report of an engine, or `undefined` if it does not answer in time. */
    report(target: Target): Promise<EngineReport | undefined>;
}
