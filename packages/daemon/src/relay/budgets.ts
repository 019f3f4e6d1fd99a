/** Budgets of repeats by service: this daemon's part of what the platform allows to all daemons together. */
import { createRetryBudget, type RetryBudget } from "@damaskvale/core";

/** What the platform allows over a window. */
export interface RetryAllowance {
    /** Repeats for each request. */
    readonly ratio: number;
    /** Further repeats, over all daemons. */
    readonly slack: number;
    readonly windowMilliseconds: number;
}

/** Budgets of this daemon. */
export interface ServiceBudgets {
    of(service: string): RetryBudget;
    /** Whether any request has been counted. */
    used(): boolean;
}

/** Share of the allowed ratio that daemons use, as their windows are not aligned with the platform's. */
const RATIO_SHARE = 0.7;
/** Fewest daemons among which the fixed number of repeats is divided. */
const MINIMUM_SLACK_SHARES = 12;
/** Shares for each daemon that is known, so that some may come before all have heard of them. */
const SLACK_SHARES_PER_DAEMON = 1.25;

/** Makes the budgets of one of `daemons` daemons. */
export function createServiceBudgets(
    { ratio, slack, windowMilliseconds }: RetryAllowance,
    daemons: () => number,
): ServiceBudgets {
    const slackShares = (): number => Math.max(MINIMUM_SLACK_SHARES, daemons() * SLACK_SHARES_PER_DAEMON);
    const budgets = new Map<string, RetryBudget>();
    return {
        of: service => {
            const budget = budgets.get(service) ?? createRetryBudget({
                ratio: ratio * RATIO_SHARE,
                minimumPerSecond: () => slack / slackShares() * 1_000 / windowMilliseconds,
                windowMilliseconds,
            });
            budgets.set(service, budget);
            return budget;
        },
        used: () => budgets.size > 0,
    };
}
