/** Retry policy: the decisions of the core, with one retry budget for each model or service. */
import { createRetryBudget, decideAttempt, type RetryBudget } from "@damaskvale/core";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";
import type { RetryPolicy } from "./options.js";

/** Creates the policy of one daemon. */
export function createRetryPolicy(random: RandomGenerator): RetryPolicy {
    const budgets = new Map<string, RetryBudget>();
    const budgetOf = (subject: string): RetryBudget => {
        const budget = budgets.get(subject) ?? createRetryBudget();
        budgets.set(subject, budget);
        return budget;
    };
    return {
        recordFirstAttempt: (subject, now) => budgetOf(subject).recordFirstAttempt(now),
        decide: ({ failure, subject, ...state }) => {
            const decision = decideAttempt({ ...state, failure: failure.kind }, { budget: budgetOf(subject), random });
            return decision.kind === "retry"
                ? { retry: true, delayMilliseconds: decision.delayMilliseconds }
                : { retry: false, delayMilliseconds: 0 };
        },
    };
}
