/** Groups of hosts, derived from what the hosts say of themselves. */
import type { ModelProfile } from "../routes/types.js";
import type { GroupMembership, Target } from "./types.js";

/** A group as its members describe it. */
export interface EngineGroup {
    readonly name: string;
    readonly epoch: number;
    /** Model that the group runs or was formed for; absent if its name is not one of ours and no member tells. */
    readonly model?: string;
    /** Host with rank 0, if it is known. */
    readonly head?: Target;
    /** Known members, by rank. */
    readonly members: readonly Target[];
    /** Whether as many members are known as the model needs. */
    readonly complete: boolean;
}

const NAME_SEPARATOR = "~";

/**
 * Names a group after its domain, model, and the owner's fencing token with the epoch. The model is thus known while the
 * members still load, and two owners never use the same name for different members.
 */
export function groupName(domain: string, model: string, fencingToken: number, epoch: number): string {
    return [domain, model, `${fencingToken}.${epoch}`].join(NAME_SEPARATOR);
}

function modelInName(name: string): string | undefined {
    return name.split(NAME_SEPARATOR).at(-2);
}

/** Collects the groups of hosts. */
export function collectGroups(targets: readonly Target[], models: readonly ModelProfile[]): EngineGroup[] {
    const byIdentity = new Map<string, Target[]>();
    targets.forEach(target => {
        if (target.membership === undefined) {
            return;
        }
        const identity = `${target.membership.group}${NAME_SEPARATOR}${target.membership.epoch}`;
        byIdentity.set(identity, [...byIdentity.get(identity) ?? [], target]);
    });
    return [...byIdentity.values()].flatMap(members => {
        const membership = members[0]?.membership;
        return membership === undefined ? [] : [describeGroup(membership.group, membership.epoch, members, models)];
    });
}

function describeGroup(
    name: string,
    epoch: number,
    unordered: readonly Target[],
    models: readonly ModelProfile[],
): EngineGroup {
    const members = oneByRank(unordered);
    const named = modelInName(name);
    const model = models.some(profile => profile.name === named)
        ? named
        : members.find(member => member.model !== undefined)?.model;
    const size = models.find(profile => profile.name === model)?.size;
    const head = members.find(member => rankOf(member) === 0);
    return { name, epoch, model, head, members, complete: size !== undefined && members.length === size };
}

/**
 * Members by rank. Two hosts have one rank when the address of a lost host was taken over by a member, which then answers
 * for both; the registered one counts.
 */
function oneByRank(members: readonly Target[]): Target[] {
    const byRank = new Map<number, Target>();
    members.forEach(member => {
        const other = byRank.get(rankOf(member));
        if (other === undefined || !other.registered) {
            byRank.set(rankOf(member), member);
        }
    });
    return [...byRank.values()].sort((left, right) => rankOf(left) - rankOf(right));
}

function rankOf(target: Target): number {
    return target.membership?.rank ?? Number.MAX_SAFE_INTEGER;
}

/**
 * Returns whether requests may be sent to the head of a group. Only whole groups are opened; one that loses a member
 * afterwards is recognised by its lack of progress.
 */
export function isServing(group: EngineGroup): boolean {
    const { head } = group;
    return head !== undefined && head.membership?.state === "open" && head.registered && !head.draining;
}

/** Whole groups by model. */
export function countCompleteGroups(groups: readonly EngineGroup[]): Map<string, number> {
    return groups.filter(group => group.complete).reduce(
        (counts, { model }) => model === undefined ? counts : counts.set(model, (counts.get(model) ?? 0) + 1),
        new Map<string, number>(),
    );
}

/**
 * Returns whether a membership is one that the same start of a host had before another one. Epochs do not fall, and who
 * has joined a group does not join it again.
 */
export function isEarlierMembership(membership: GroupMembership, other: GroupMembership): boolean {
    const sameGroup = membership.group === other.group && membership.epoch === other.epoch;
    return membership.epoch < other.epoch
        || (sameGroup && membership.state === "joining" && other.state !== "joining");
}

/** Returns whether all members have joined and the head waits for the order to open. */
export function isReadyToOpen(group: EngineGroup): boolean {
    return group.complete && group.members.every(member => member.membership?.state === "ready" && !member.draining);
}
