/** Limits of rules at this daemon: requests in progress and requests a second for a combination of names. */
import type { RowOf } from "@damaskvale/core";

/** Limits of rules. */
export interface RuleLimits {
    /** Whether the rule lets one more request pass now. */
    allows(rule: RowOf<"rule"> | undefined, now: number): boolean;
    /** Counts a request under the rule; the returned function ends it. */
    begin(rule: RowOf<"rule"> | undefined, now: number): () => void;
}

interface Usage {
    inProgress: number;
    /** Start times of the last second, oldest first. */
    starts: number[];
}

const WINDOW_MILLISECONDS = 1_000;

/** Makes the limits. Usage is kept only for rules that limit something. */
export function createRuleLimits(): RuleLimits {
    const usages = new Map<string, Usage>();

    const usageOf = (name: string, now: number): Usage => {
        const usage = usages.get(name) ?? { inProgress: 0, starts: [] };
        usage.starts = usage.starts.filter(start => start > now - WINDOW_MILLISECONDS);
        usages.set(name, usage);
        return usage;
    };
    const limits = (rule: RowOf<"rule"> | undefined): rule is RowOf<"rule"> =>
        rule !== undefined && (rule.concurrency !== undefined || rule.requestsPerSecond !== undefined);

    return {
        allows: (rule, now) => {
            if (!limits(rule)) {
                return true;
            }
            const usage = usageOf(rule.name, now);
            return usage.inProgress < (rule.concurrency ?? Infinity)
                && usage.starts.length < Math.max(1, rule.requestsPerSecond ?? Infinity);
        },
        begin: (rule, now) => {
            if (!limits(rule)) {
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
