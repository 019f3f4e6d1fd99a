/** Groups of hosts, derived from the memberships that the hosts report. */
import type { ModelProfile } from "../routes/types.js";
import type { Target } from "./types.js";

/** A group as its members report it. */
export interface EngineGroup {
    readonly name: string;
    readonly epoch: number;
    /** Model that the group runs or was formed for; absent if neither the group's name nor a member states it. */
    readonly model?: string;
    /** Member with rank 0, if it is known. */
    readonly head?: Target;
    /** Known members, ordered by rank. */
    readonly members: readonly Target[];
    /** Number of members for which the group was formed; absent if its name does not state it. */
    readonly statedSize?: number;
    /** Whether all members are known: as many as the name states, or else as the model needs now. */
    readonly complete: boolean;
    /** Whether the configuration has no such model now, or another size of it. */
    readonly outdated: boolean;
}

/** Identity of a group in its name. */
export interface GroupIdentity {
    readonly domain: string;
    readonly model: string;
    /** Fencing token of the owner that forms the group. */
    readonly fencingToken: number;
    readonly epoch: number;
    /** Number of members. */
    readonly size: number;
}

const NAME_SEPARATOR = "~";
const NUMBER_SEPARATOR = ".";
/** Position of the size among the numbers in a name. */
const SIZE_INDEX = 2;

/**
 * Builds the name of a group from its domain, its model, and the owner's fencing token with the epoch and the number of members. The
 * name tells the model and the size before all members are known, and two owners never use one name for different members.
 */
export function groupName({ domain, model, fencingToken, epoch, size }: GroupIdentity): string {
    return [domain, model, [fencingToken, epoch, size].join(NUMBER_SEPARATOR)].join(NAME_SEPARATOR);
}

function modelInName(name: string): string | undefined {
    return name.split(NAME_SEPARATOR).at(-2);
}

/** Returns the number of members in the name of a group; builds before this one do not state it. */
function sizeInName(name: string): number | undefined {
    const size = Number(name.split(NAME_SEPARATOR).at(-1)?.split(NUMBER_SEPARATOR)[SIZE_INDEX]);
    return Number.isInteger(size) ? size : undefined;
}

/** Collects hosts into groups by the name and epoch of their membership. */
export function collectGroups(targets: readonly Target[], models: readonly ModelProfile[]): EngineGroup[] {
    const byIdentity = new Map<string, Target[]>();
    targets.forEach(target => {
        if (target.membership === undefined) {
            return;
        }
        const identity = identityOf(target);
        const members = byIdentity.get(identity);
        if (members === undefined) {
            byIdentity.set(identity, [target]);
        }
        else {
            members.push(target);
        }
    });
    return [...byIdentity.values()].flatMap(members => {
        const membership = members[0]?.membership;
        return membership === undefined ? [] : [describeGroup(membership.group, membership.epoch, members, models)];
    });
}

function describeGroup(
    name: string,
    epoch: number,
    reportedMembers: readonly Target[],
    models: readonly ModelProfile[],
): EngineGroup {
    const members = deduplicateByRank(reportedMembers);
    const modelName = modelInName(name);
    const model = models.some(profile => profile.name === modelName)
        ? modelName
        : members.find(member => member.model !== undefined)?.model;
    const statedSize = sizeInName(name);
    const configuredSize = models.find(profile => profile.name === model)?.size;
    return {
        name,
        epoch,
        model,
        head: members.find(member => rankOf(member) === 0),
        members,
        statedSize,
        complete: members.length === (statedSize ?? configuredSize),
        outdated: configuredSize === undefined || (statedSize ?? configuredSize) !== configuredSize,
    };
}

/**
 * Returns one member for each rank, ordered by rank. Two hosts report the same rank when a member has taken over the
 * address of a lost host and answers for both; the registered one counts.
 */
function deduplicateByRank(members: readonly Target[]): Target[] {
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

/** A group that accepts requests, as its head reports it. */
export interface ServingGroup {
    /** Model that the group runs; absent if neither the group's name nor its head states it. */
    readonly model?: string;
    readonly head: Target;
}

/**
 * Returns the groups to whose heads requests may be sent. Only heads are looked at: only complete groups are opened, and a
 * group that loses a member later is detected because it makes no progress. No request begins in a group of another size than
 * the configuration states.
 */
export function collectServingGroups(targets: readonly Target[], models: readonly ModelProfile[]): ServingGroup[] {
    const heads = targets.filter(({ membership, registered, draining }) =>
        membership?.state === "open" && membership.rank === 0 && registered && !draining
    );
    // Two hosts can report to be the same head when one has taken over the address of a lost one.
    const byIdentity = new Map(heads.toReversed().map(head => [identityOf(head), head]));
    return [...byIdentity.values()].toReversed().flatMap(head => {
        const group = head.membership?.group ?? "";
        const profile = models.find(({ name }) => name === modelInName(group));
        const size = sizeInName(group);
        const isOutdated = profile !== undefined && size !== undefined && size !== profile.size;
        return isOutdated ? [] : [{ model: profile?.name ?? head.model, head }];
    });
}

function identityOf({ membership }: Target): string {
    return `${membership?.group}${NAME_SEPARATOR}${membership?.epoch}`;
}

/** States of a head that runs requests. */
const SERVING_STATES: ReadonlySet<string | undefined> = new Set(["open", "closing"]);

/** Returns whether the head of a group is known to run requests. */
export function isServingGroup({ head }: EngineGroup): boolean {
    return SERVING_STATES.has(head?.membership?.state);
}

/** Returns whether a group is one of those that the configuration asks for, with all its members. */
export function isCurrentGroup({ complete, outdated }: EngineGroup): boolean {
    return complete && !outdated;
}

/** Counts the complete groups of each model that the configuration asks for. */
export function countCompleteGroups(groups: readonly EngineGroup[]): Map<string, number> {
    return groups.filter(isCurrentGroup).reduce(
        (counts, { model }) => model === undefined ? counts : counts.set(model, (counts.get(model) ?? 0) + 1),
        new Map<string, number>(),
    );
}

/** Returns whether a group is current and all its members are ready, so that its head can be ordered to open. */
export function isReadyToOpen(group: EngineGroup): boolean {
    return isCurrentGroup(group)
        && group.members.every(member => member.membership?.state === "ready" && !member.draining);
}
