/** Confirmation of a group: whether all members currently report the group and its fencing token. */
import { CONFIRMATION_BOUND_MILLISECONDS } from "./constants.js";
import type { Group, Observation } from "./types.js";

/** Why requests must not be dispatched to a group. */
export type BlockedReason = "missing" | "stale" | "other-group" | "other-fence" | "other-model" | "loading";

/** Whether requests may be dispatched to a group, or the first member that prevents it. */
export type Confirmation =
    | { readonly kind: "dispatchable"; readonly validUntil: number; }
    | { readonly kind: "blocked"; readonly reason: BlockedReason; readonly host: string; };

/**
 * Checks that every member reported this group, fencing token and model as ready within the bound. Times are
 * monotonic milliseconds of the caller; `validUntil` is when the oldest report exceeds the bound.
 */
export function confirmGroup(
    group: Group,
    observations: ReadonlyMap<string, Observation>,
    now: number,
    boundMilliseconds = CONFIRMATION_BOUND_MILLISECONDS,
): Confirmation {
    const blocked = group.members
        .map(host => ({ host, reason: blockedReason(group, observations.get(host), now - boundMilliseconds) }))
        .find(member => member.reason !== undefined);
    if (blocked?.reason !== undefined) {
        return { kind: "blocked", reason: blocked.reason, host: blocked.host };
    }
    const times = group.members.map(host => observations.get(host)?.observedAt ?? 0);
    return { kind: "dispatchable", validUntil: Math.min(...times) + boundMilliseconds };
}

/** Returns why one member does not confirm its group, or `undefined` if it does. */
function blockedReason(
    group: Group,
    observation: Observation | undefined,
    oldest: number,
): BlockedReason | undefined {
    if (observation === undefined) {
        return "missing";
    }
    const { report, observedAt } = observation;
    const checks: (readonly [boolean, BlockedReason])[] = [
        [observedAt < oldest, "stale"],
        [report.group !== group.group, "other-group"],
        [report.fence !== group.fence, "other-fence"],
        [report.model !== group.model || report.version !== group.version, "other-model"],
        [report.state !== "ready", "loading"],
    ];
    return checks.find(([fails]) => fails)?.[1];
}
