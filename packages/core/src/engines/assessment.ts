/** Judgement of a group: whether it is being formed, serves, retires or is to be taken apart, and the orders for that. */
import { type EngineGroup, isReadyToOpen } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import type { Target } from "./types.js";

/** A group as the planner judges it. */
export interface AssessedGroup {
    readonly group: EngineGroup;
    readonly forming: boolean;
    /** Head, unless it is lost. */
    readonly head?: Target;
    readonly lostMember: boolean;
    /** Whether a member drains, or the head gets no requests because its entry lapsed for good. */
    readonly retiring: boolean;
}

/** Judges a group. */
export function assessGroup(group: EngineGroup, input: DomainPlanInput, pending: PendingOperations): AssessedGroup {
    const hosts = new Map(input.hosts.map(host => [host.target.id, host]));
    const isLost = (id: string): boolean => hosts.get(id)?.lost ?? true;
    const willNotJoin = (id: string): boolean => isLost(id) || hosts.get(id)?.target.draining === true;
    return {
        group,
        forming: pending.isForming(group, input.models, willNotJoin, input.now),
        head: group.head === undefined || isLost(group.head.id) ? undefined : group.head,
        lostMember: !group.complete || group.members.some(member => isLost(member.id)),
        retiring: group.members.some(member => member.draining)
            || (group.head !== undefined && hosts.get(group.head.id)?.lapsed === true),
    };
}

/** Opens, closes or takes apart one group. */
export function ordersForGroup(judged: AssessedGroup): EngineOrder[] {
    const { group, forming, head, lostMember } = judged;
    const { name, epoch } = group;
    if (isReadyToOpen(group) && head !== undefined && !lostMember) {
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
    const orders: Readonly<Record<GroupFate, EngineOrder[]>> = { keep: [], close: [close], dissolve: [leave] };
    return orders[fateOf(judged)];
}

/** What becomes of a group that has a head and is not being formed. */
type GroupFate = "keep" | "close" | "dissolve";

function fateOf({ group, head, lostMember, retiring }: AssessedGroup): GroupFate {
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
 * Hosts that may be asked to join a group. A member leaves its group first, after its head: an order to open the head
 * that had no answer may still be carried out, and finds a head that has left or members that are in no other group.
 */
export function freeHosts(hosts: readonly EngineHost[]): Target[] {
    return hosts.filter(host => !host.lost).map(host => host.target)
        .filter(target => !target.draining && target.membership === undefined);
}
