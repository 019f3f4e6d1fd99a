/** Retry budgets by service: this daemon's share of the retries that the platform allows to all daemons together. */
import { createRetryBudget, type RetryBudget } from "@damaskvale/core";

/** Retries that the platform allows within a window. */
export interface RetryAllowance {
    /** Retries per request. */
    readonly ratio: number;
    /** Additional retries, for all daemons together. */
    readonly slack: number;
    readonly windowMilliseconds: number;
}

/** Retry budgets of this daemon. */
export interface ServiceRetryBudgets {
    of(service: string): RetryBudget;
    /** Whether there has been any request. */
    hasRequests(): boolean;
}

/** Share of the allowed ratio that a daemon uses, because its windows are not aligned with the platform's. */
const RATIO_SHARE = 0.7;
/** Minimum number of shares into which the additional retries are divided. */
const MINIMUM_SLACK_SHARES = 12;
/** Shares per known daemon; above 1, because new daemons use a share before all others know of them. */
const SLACK_SHARES_PER_DAEMON = 1.25;

/** Creates the budgets of one daemon; `daemons` returns the number of known daemons, including this one. */
export function createServiceRetryBudgets(
    { ratio, slack, windowMilliseconds }: RetryAllowance,
    daemons: () => number,
): ServiceRetryBudgets {
    const slackShareCount = (): number => Math.max(MINIMUM_SLACK_SHARES, daemons() * SLACK_SHARES_PER_DAEMON);
    const budgets = new Map<string, RetryBudget>();
    return {
        of: service => {
            const budget = budgets.get(service) ?? createRetryBudget({
                ratio: ratio * RATIO_SHARE,
                minimumPerSecond: () => slack / slackShareCount() * 1_000 / windowMilliseconds,
                windowMilliseconds,
            });
            budgets.set(service, budget);
            return budget;
        },
        hasRequests: () => budgets.size > 0,
    };
}
