/** Enforces the limits of rules at this daemon: requests in progress and requests per second. */
import type { RowOf } from "@damaskvale/core";

/** Limits of rules. Times are monotonic milliseconds. */
export interface RuleLimits {
    /** Whether the limits of the rule allow one more request now. */
    allows(rule: RowOf<"rule"> | undefined, now: number): boolean;
    /** Counts a request against the rule until the returned function is called. */
    begin(rule: RowOf<"rule"> | undefined, now: number): () => void;
    /** Number of rules with requests in progress or in the last seconds. */
    rulesInUse(): number;
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
    let prunedAt = 0;

    /** Drops the usage of rules without requests; a rule may have been removed since its last one. */
    const pruneUnused = (now: number): void => {
        if (now - prunedAt < RATE_WINDOW_MILLISECONDS) {
            return;
        }
        prunedAt = now;
        [...usages].filter(([, { inProgress, starts }]) =>
            inProgress === 0 && !starts.some(start => isRecent(start, now))
        )
            .forEach(([name]) => usages.delete(name));
    };
    const usageOf = (name: string, now: number): Usage => {
        const usage = usages.get(name) ?? { inProgress: 0, starts: [] };
        usage.starts = usage.starts.filter(start => isRecent(start, now));
        usages.set(name, usage);
        return usage;
    };
    const hasLimits = (rule: RowOf<"rule"> | undefined): rule is RowOf<"rule"> =>
        rule !== undefined && (rule.concurrency !== undefined || rule.requestsPerSecond !== undefined);

    return {
        allows: (rule, now) => {
            pruneUnused(now);
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
        rulesInUse: () => usages.size,
    };
}

function isRecent(start: number, now: number): boolean {
    return start > now - RATE_WINDOW_MILLISECONDS;
}
