/** Decision whether a request gets another attempt. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { RetryBudget } from "./budget.js";

/** How an attempt failed, in the words of the clients of engines and services. */
export type AttemptFailure = "not-sent" | "refused" | "broken" | "silent" | "failed" | "cancelled";

/** What the decision depends on. Times are monotonic milliseconds. */
export interface AttemptState {
    /** Attempts made so far, at least 1. */
    readonly attempts: number;
    readonly failure: AttemptFailure;
    /** Whether the request may run more than once. */
    readonly repeatable: boolean;
    /** Whether any part of the answer has been passed to the caller. */
    readonly delivered: boolean;
    readonly now: number;
    readonly deadlineAt: number;
}

/** Options of `decideAttempt`. */
export interface AttemptOptions {
    readonly budget: RetryBudget;
    readonly random: RandomGenerator;
    readonly maximumAttempts?: number;
    /** Pause before the third attempt; doubles with each further one. The second attempt follows at once. */
    readonly backoffMilliseconds?: number;
    /** Time that an attempt needs at the least; with less left until the deadline there is none. */
    readonly minimumAttemptMilliseconds?: number;
}

/** Why there is no further attempt. */
export type StopReason = "cancelled" | "delivered" | "not-repeatable" | "attempts" | "deadline" | "budget";

/** The decision. A further attempt starts after the pause, and has been taken from the budget. */
export type AttemptDecision =
    | { readonly kind: "retry"; readonly delayMilliseconds: number; }
    | { readonly kind: "stop"; readonly reason: StopReason; };

/** Failures after which the request certainly has not started anywhere. */
const NOT_STARTED: readonly AttemptFailure[] = ["not-sent", "refused"];

/** Decides whether a request gets another attempt. Takes it from the budget only if everything else allows it. */
export function decideAttempt(state: AttemptState, options: AttemptOptions): AttemptDecision {
    const { budget, maximumAttempts = 4, minimumAttemptMilliseconds = 50 } = options;
    const delayMilliseconds = backoff(state.attempts, options);
    const objections: readonly (readonly [StopReason, boolean])[] = [
        ["cancelled", state.failure === "cancelled"],
        ["delivered", state.delivered],
        ["not-repeatable", !state.repeatable && !NOT_STARTED.includes(state.failure)],
        ["attempts", state.attempts >= maximumAttempts],
        ["deadline", state.now + delayMilliseconds + minimumAttemptMilliseconds > state.deadlineAt],
    ];
    const objection = objections.find(([, applies]) => applies);
    if (objection !== undefined) {
        return { kind: "stop", reason: objection[0] };
    }
    return budget.tryWithdraw(state.now) ? { kind: "retry", delayMilliseconds } : { kind: "stop", reason: "budget" };
}

/** Pause before the next attempt: none before the second, then exponential with full jitter. */
function backoff(attempts: number, { random, backoffMilliseconds = 100 }: AttemptOptions): number {
    return attempts < 2 ? 0 : Math.ceil(uniformFloat64(random) * backoffMilliseconds * 2 ** Math.min(10, attempts - 2));
}
