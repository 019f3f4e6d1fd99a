/** Enforces the limits of rules at this daemon: requests in progress and requests per second. */
import type { RowOf } from "@damaskvale/core";

/** Limits of rules. Times are monotonic milliseconds. */
export interface RuleLimits {
    /** Whether the limits of the rule allow one more request now. */
    allows(rule: RowOf<"rule"> | undefined, now: number): boolean;
    /** Counts a request against the rule until the returned function is called. */
    begin(rule: RowOf<"rule"> | undefined, now: number): () => void;
}

interface Usage {
    inProgress: number;
    /** Start times of the requests of the last second, oldest first. */
    starts: number[];
}

const RATE_WINDOW_MILLISECONDS = 1_000;

/** Creates the limits. Usage is tracked only for rules that set a limit. */
export function createRuleLimits(): RuleLimits {
    const usages = new Map<string, Usage>();

    const usageOf = (name: string, now: number): Usage => {
        const usage = usages.get(name) ?? { inProgress: 0, starts: [] };
        usage.starts = usage.starts.filter(start => start > now - RATE_WINDOW_MILLISECONDS);
        usages.set(name, usage);
        return usage;
    };
    const hasLimits = (rule: RowOf<"rule"> | undefined): rule is RowOf<"rule"> =>
        rule !== undefined && (rule.concurrency !== undefined || rule.requestsPerSecond !== undefined);

    return {
        allows: (rule, now) => {
            if (!hasLimits(rule)) {
                return true;
            }
            const usage = usageOf(rule.name, now);
            return usage.inProgress < (rule.concurrency ?? Infinity)
                && usage.starts.length < Math.max(1, rule.requestsPerSecond ?? Infinity);
        },
        begin: (rule, now) => {
            if (!hasLimits(rule)) {
                return () => undefined;
            }
            const usage = usageOf(rule.name, now);
            usage.inProgress += 1;
            usage.starts.push(now);
            return () => {
                usage.inProgress -= 1;
                if (usage.inProgress === 0 && rule.requestsPerSecond === undefined) {
                    usages.delete(rule.name);
                }
            };
        },
    };
}
