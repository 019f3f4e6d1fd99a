/** Assesses whether a group is being formed, serves, retires or must be dissolved, and gives the orders for it. */
import { type EngineGroup, isReadyToOpen } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import type { Target } from "./types.js";

/** A group with the planner's assessment. */
export interface AssessedGroup {
    readonly group: EngineGroup;
    readonly forming: boolean;
    /** Head of the group, unless it is unknown or lost. */
    readonly head?: Target;
    readonly lostMember: boolean;
    /**
     * Whether the group is to end: a member is draining, the head's registry entry lapsed for good, so that it gets no
     * requests, or its hosts are needed for a model without a group.
     */
    readonly retiring: boolean;
    /** Whether the hosts of the group will soon be needed for a model without a group, so that it is not opened. */
    readonly withheld: boolean;
}

/** Assesses a group by the state of its hosts and the orders in progress. */
export function assessGroup(group: EngineGroup, input: DomainPlanInput, pending: PendingOperations): AssessedGroup {
    const hosts = new Map(input.hosts.map(host => [host.target.id, host]));
    const isLost = (id: string): boolean => hosts.get(id)?.lost ?? true;
    const isReleased = input.reassignment?.releases.includes(group.name) === true;
    const willNotJoin = (id: string): boolean => isLost(id) || hosts.get(id)?.target.draining === true;
    return {
        group,
        forming: pending.isForming(group, input.models, willNotJoin, input.now),
        head: group.head === undefined || isLost(group.head.id) ? undefined : group.head,
        lostMember: !group.complete || group.members.some(member => isLost(member.id)),
        retiring: group.members.some(member => member.draining)
            || (group.head !== undefined && hosts.get(group.head.id)?.lapsed === true)
            || (isReleased && input.reassignment?.due === true),
        withheld: isReleased,
    };
}

/** Returns the orders that open, close or dissolve a group. */
export function ordersForGroup(assessed: AssessedGroup): EngineOrder[] {
    const { group, forming, head, lostMember, withheld } = assessed;
    const { name, epoch } = group;
    if (isReadyToOpen(group) && head !== undefined && !lostMember && !withheld) {
        return [{ kind: "open", host: head.id, group: name, epoch }];
    }
    if (forming) {
        return [];
    }
    if (head === undefined) {
        return group.members.map(member => ({ kind: "leave", host: member.id, group: name, epoch }));
    }
    const leave: EngineOrder = { kind: "leave", host: head.id, group: name, epoch };
    const close: EngineOrder = { kind: "close", host: head.id, group: name, epoch, work: "finish" };
    const orders: Readonly<Record<GroupAction, EngineOrder[]>> = { keep: [], close: [close], dissolve: [leave] };
    return orders[actionFor(assessed)];
}

/** Action on a group that has a head and is not being formed. */
type GroupAction = "keep" | "close" | "dissolve";

function actionFor({ group, head, lostMember, retiring }: AssessedGroup): GroupAction {
    const state = head?.membership?.state;
    const stuck = group.members.some(member => member.membership?.state === "joining");
    if (lostMember || stuck || state === "broken") {
        return "dissolve";
    }
    if (!retiring || state === "closing") {
        return "keep";
    }
    return state === "open" ? "close" : "dissolve";
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
