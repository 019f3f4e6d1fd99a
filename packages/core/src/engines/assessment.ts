/** Assesses whether a group is being formed, serves, retires or must be dissolved, and gives the orders for it. */
import { type EngineGroup, isReadyToOpen, isServingGroup } from "./groups.js";
import type { EndReason, EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import type { RequiredStatement } from "./seengroups.js";
import type { Target } from "./types.js";

/** A group with the planner's assessment. */
export interface AssessedGroup {
    readonly group: EngineGroup;
    readonly forming: boolean;
    /** Head of the group, unless it is unknown or lost. */
    readonly head?: Target;
    /** Why the group makes no progress any more, so that nothing is lost if its members leave at once. */
    readonly failure?: EndReason;
    /** Why the group is to end once its requests have ended. */
    readonly retirement?: EndReason;
    /** Statements of hosts without which it is not shown that the group lacks a member. */
    readonly requiredStatements: readonly RequiredStatement[];
    /** Whether the hosts of the group will soon be needed for a model without a group, so that it is not opened. */
    readonly withheld: boolean;
}

/** Returns the hosts that are in no complete group, so that they may be members of a group that looks incomplete. */
export function looseHosts(groups: readonly EngineGroup[], hosts: readonly EngineHost[]): EngineHost[] {
    const settled = new Set(
        groups.filter(({ complete }) => complete).flatMap(({ members }) => members.map(({ id }) => id)),
    );
    return hosts.filter(({ target }) => !settled.has(target.id));
}

/**
 * Assesses a group by the state of the hosts of its domain, the orders in progress, and the statements that are still required. `hosts`
 * are those of the input by id.
 */
export function assessGroup(
    group: EngineGroup,
    requiredStatements: readonly RequiredStatement[],
    hosts: ReadonlyMap<string, EngineHost>,
    input: DomainPlanInput,
    pending: PendingOperations,
): AssessedGroup {
    const isLost = (id: string): boolean => hosts.get(id)?.lost ?? true;
    const willNotJoin = (id: string): boolean => isLost(id) || hosts.get(id)?.target.draining === true;
    const isHeadLost = group.head !== undefined && isLost(group.head.id);
    const hasLostMember = group.members.some(({ id }) => isLost(id));
    const isIncomplete = !group.complete && requiredStatements.length === 0;
    return {
        group,
        forming: pending.isForming(group, input.models, willNotJoin, input.now),
        head: isHeadLost ? undefined : group.head,
        failure: isHeadLost ? "head-lost" : hasLostMember ? "member-lost" : failureOf(group, isIncomplete),
        retirement: retirementOf(group, isIncomplete, hosts, input),
        requiredStatements,
        withheld: input.reassignment?.releases.includes(group.name) === true,
    };
}

/** Returns why a group of which no known member is lost makes no progress. */
function failureOf(group: EngineGroup, isIncomplete: boolean): EndReason | undefined {
    const state = group.head?.membership?.state;
    const isServing = isServingGroup(group);
    const isJoining = group.members.some(({ membership }) => membership?.state === "joining");
    // Only complete groups are opened. One whose name does not state its size may have been formed for another one.
    const isMemberMissing = isIncomplete && (group.statedSize !== undefined || !isServing);
    const checks: readonly (readonly [boolean, EndReason])[] = [
        [state === "broken", "broken"],
        [isIncomplete && group.head === undefined, "head-missing"],
        [isMemberMissing, "member-missing"],
        [isJoining && !isServing, "not-joined"],
    ];
    return checks.find(([holds]) => holds)?.[1];
}

/** Returns why a group is to end when its requests have ended. */
function retirementOf(
    group: EngineGroup,
    isIncomplete: boolean,
    hosts: ReadonlyMap<string, EngineHost>,
    { reassignment }: DomainPlanInput,
): EndReason | undefined {
    const isReleased = reassignment?.due === true && reassignment.releases.includes(group.name);
    const isOfOtherSize = isIncomplete && group.statedSize === undefined;
    const checks: readonly (readonly [boolean, EndReason])[] = [
        [group.members.some(({ draining }) => draining), "member-draining"],
        [hosts.get(group.head?.id ?? "")?.lapsed === true, "head-lapsed"],
        [group.outdated || isOfOtherSize, "outdated"],
        [isReleased, "reassigned"],
    ];
    return checks.find(([holds]) => holds)?.[1];
}

/** Returns the orders that open, close or dissolve a group. */
export function ordersForGroup(assessed: AssessedGroup): EngineOrder[] {
    const { group, forming, head, failure, retirement, withheld } = assessed;
    const { name, epoch } = group;
    if (isReadyToOpen(group) && head !== undefined && failure === undefined && !withheld) {
        return [{ kind: "open", host: head.id, group: name, epoch }];
    }
    if (forming) {
        return [];
    }
    const state = head?.membership?.state;
    const leaving = head === undefined ? group.members : [head];
    if (failure !== undefined) {
        return leaving.map(({ id }) => ({ kind: "leave", host: id, group: name, epoch, reason: failure }));
    }
    if (head === undefined || retirement === undefined || state === "closing") {
        return [];
    }
    return state === "open"
        ? [{ kind: "close", host: head.id, group: name, epoch, work: "finish", reason: retirement }]
        : [{ kind: "leave", host: head.id, group: name, epoch, reason: retirement }];
}

/**
 * Returns the hosts that may be ordered to join a group. Members must leave their group first, and the head leaves
 * before the others: an unanswered open order may still take effect, and then the head must have left already, or its
 * members must not have joined another group.
 */
export function freeHosts(hosts: readonly EngineHost[]): Target[] {
    return hosts.filter(host => !host.lost).map(host => host.target)
        .filter(target => !target.draining && target.membership === undefined);
}
