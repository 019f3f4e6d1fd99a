/** Decides whether a failed request is retried. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { RetryBudget } from "./budget.js";

/** How an attempt failed, as reported by the clients of engines and services. */
export type AttemptFailure = "not-sent" | "refused" | "broken" | "silent" | "failed" | "cancelled";

/** State of a request after a failed attempt. Times are monotonic milliseconds. */
export interface AttemptState {
    /** Number of attempts so far, at least 1. */
    readonly attempts: number;
    readonly failure: AttemptFailure;
    /** Whether the request may be executed more than once. */
    readonly repeatable: boolean;
    /** Whether any part of the response has been sent to the caller. */
    readonly delivered: boolean;
    readonly now: number;
    readonly deadlineAt: number;
}

/** Options of `decideAttempt`. */
export interface AttemptOptions {
    readonly budget: RetryBudget;
    readonly random: RandomGenerator;
    readonly maximumAttempts?: number;
    /** Maximum delay before the third attempt; doubles with each further one. The second attempt has no delay. */
    readonly backoffMilliseconds?: number;
    /** Minimum time that an attempt needs. With less time left until the deadline, there is no further attempt. */
    readonly minimumAttemptMilliseconds?: number;
}

/** Why there is no further attempt. */
export type StopReason = "cancelled" | "delivered" | "not-repeatable" | "attempts" | "deadline" | "budget";

/** The decision. A retry starts after the delay and has already been withdrawn from the budget. */
export type AttemptDecision =
    | { readonly kind: "retry"; readonly delayMilliseconds: number; }
    | { readonly kind: "stop"; readonly reason: StopReason; };

/** Failures after which the request has certainly not started on any target. */
const NOT_STARTED: readonly AttemptFailure[] = ["not-sent", "refused"];

/** Decides whether a request is retried. Withdraws from the budget only if all other conditions allow a retry. */
export function decideAttempt(state: AttemptState, options: AttemptOptions): AttemptDecision {
    const { budget, maximumAttempts = 4, minimumAttemptMilliseconds = 50 } = options;
    const delayMilliseconds = backoff(state.attempts, options);
    const stopConditions: readonly (readonly [StopReason, boolean])[] = [
        ["cancelled", state.failure === "cancelled"],
        ["delivered", state.delivered],
        ["not-repeatable", !state.repeatable && !NOT_STARTED.includes(state.failure)],
        ["attempts", state.attempts >= maximumAttempts],
        ["deadline", state.now + delayMilliseconds + minimumAttemptMilliseconds > state.deadlineAt],
    ];
    const stopCondition = stopConditions.find(([, applies]) => applies);
    if (stopCondition !== undefined) {
        return { kind: "stop", reason: stopCondition[0] };
    }
    return budget.tryWithdraw(state.now) ? { kind: "retry", delayMilliseconds } : { kind: "stop", reason: "budget" };
}

/** Delay before the next attempt: none before the second, then exponential backoff with full jitter. */
function backoff(attempts: number, { random, backoffMilliseconds = 100 }: AttemptOptions): number {
    return attempts < 2 ? 0 : Math.ceil(uniformFloat64(random) * backoffMilliseconds * 2 ** Math.min(10, attempts - 2));
}
