/** Judgement of a group: whether it is being formed, serves, retires or is to be taken apart, and the orders for that. */
import type { Formations } from "./formations.js";
import { type EngineGroup, isReadyToOpen } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import type { Target } from "./types.js";

/** A group as the planner judges it. */
export interface JudgedGroup {
    readonly group: EngineGroup;
    readonly forming: boolean;
    /** Head, unless it is lost. */
    readonly head?: Target;
    readonly lostMember: boolean;
    /** Whether a member drains, or the head gets no requests because its entry lapsed for good. */
    readonly retiring: boolean;
}

/** Judges a group. */
export function judgeGroup(group: EngineGroup, input: DomainPlanInput, formations: Formations): JudgedGroup {
    const hosts = new Map(input.hosts.map(host => [host.target.id, host]));
    const isLost = (id: string): boolean => hosts.get(id)?.lost ?? true;
    const willNotJoin = (id: string): boolean => isLost(id) || hosts.get(id)?.target.draining === true;
    return {
        group,
        forming: formations.isForming(group, input.models, willNotJoin, input.now),
        head: group.head === undefined || isLost(group.head.id) ? undefined : group.head,
        lostMember: !group.whole || group.members.some(member => isLost(member.id)),
        retiring: group.members.some(member => member.draining)
            || (group.head !== undefined && hosts.get(group.head.id)?.lapsed === true),
    };
}

/** Opens, closes or takes apart one group. */
export function ordersForGroup({ group, forming, head, lostMember, retiring }: JudgedGroup): EngineOrder[] {
    const { name, epoch } = group;
    const state = head?.membership?.state;
    if (isReadyToOpen(group) && head !== undefined && !lostMember) {
        return [{ kind: "open", host: head.id, group: name, epoch }];
    }
    if (forming) {
        return [];
    }
    if (head === undefined) {
        // A head that is gone may still be open behind a partition: its members leave before they join another group.
        return group.members.map(member => ({ kind: "leave", host: member.id, group: name, epoch }));
    }
    if (lostMember && (state === "open" || state === "closing")) {
        return [{ kind: "leave", host: head.id, group: name, epoch }];
    }
    if (retiring && state === "open") {
        return [{ kind: "close", host: head.id, group: name, epoch, work: "finish" }];
    }
    return [];
}

/** Hosts that may be asked to join a group: without a group, or in one whose head does not serve. */
export function freeHosts(hosts: readonly EngineHost[], groups: readonly JudgedGroup[]): Target[] {
    const held = new Set(groups.filter(holdsMembers).flatMap(({ group }) => group.members.map(member => member.id)));
    return hosts.filter(host => !host.lost).map(host => host.target)
        .filter(target => !target.draining && !held.has(target.id));
}

function holdsMembers({ forming, head, lostMember, retiring }: JudgedGroup): boolean {
    const state = head?.membership?.state;
    const mayServe = state === undefined || state === "open" || state === "closing";
    const sound = !lostMember && !retiring && state !== "broken";
    return forming || mayServe || sound;
}
