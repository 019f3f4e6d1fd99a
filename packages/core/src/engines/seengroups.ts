/**
 * What a planner has seen of the groups of its domain: the members of those that were complete, and since when a group lacks one. A group
 * lacks a member for good only if that is shown: a member is lost, or has stated later that it is in no such group.
 */
import { type EngineGroup, isServingGroup } from "./groups.js";
import type { EngineHost } from "./planinput.js";

interface SeenGroup {
    /** Ids of all members; absent if the group has not been complete yet. */
    readonly members?: readonly string[];
    /** Monotonic milliseconds; absent while the group is complete. */
    readonly incompleteSince?: number;
}

/** Statement that is required of a host before a group that looks incomplete is ended. */
export interface RequiredStatement {
    readonly host: string;
    /** Earliest time at which the state that the host states may have held, in monotonic milliseconds. */
    readonly since: number;
}

/**
 * After this time a group that lacks a member counts as incomplete whatever its hosts state. It is longer than a head takes to break
 * that waits for a member, and than entries are late.
 */
const MAXIMUM_DOUBT_MILLISECONDS = 8_000;

/** Groups of one domain as its planner has seen them. */
export class SeenGroups {
    private seen: ReadonlyMap<string, SeenGroup> = new Map();

    /** Records the groups that are known now. Others are forgotten. */
    update(groups: readonly EngineGroup[], now: number): void {
        this.seen = new Map(groups.map(({ name, complete, members }) => {
            const before = this.seen.get(name);
            return [
                name,
                complete
                    ? { members: members.map(({ id }) => id) }
                    : { members: before?.members, incompleteSince: before?.incompleteSince ?? now },
            ];
        }));
    }

    /**
     * Returns the statements that are required to show that a group which may serve has lost a member; none if it is complete, or if that
     * is shown. `loose` are the hosts that are in no complete group.
     */
    requiredStatements(
        group: EngineGroup,
        hosts: ReadonlyMap<string, EngineHost>,
        loose: readonly EngineHost[],
        now: number,
    ): readonly RequiredStatement[] {
        const { name, head, members } = group;
        const { members: formerMembers, incompleteSince: since } = this.seen.get(name) ?? {};
        const mayServe = head === undefined || isServingGroup(group);
        if (!mayServe || since === undefined || now - since > MAXIMUM_DOUBT_MILLISECONDS) {
            return [];
        }
        const present = new Set(members.map(({ id }) => id));
        const isSilent = (host: EngineHost): boolean =>
            !host.lost && !present.has(host.target.id) && !hasLeft(host, group)
            && (host.statedAt ?? Number.NEGATIVE_INFINITY) < since;
        const candidates = formerMembers?.filter(id => !present.has(id)).map(id => hosts.get(id)) ?? loose;
        const isShown = formerMembers !== undefined && candidates.some(host => host === undefined || !isSilent(host));
        return isShown
            ? []
            : candidates.flatMap(host => host !== undefined && isSilent(host) ? [{ host: host.target.id, since }] : []);
    }
}

/** Returns whether a host is known to have left a group, or to be in a later one. */
function hasLeft({ target: { membership, leftEpoch } }: EngineHost, { epoch }: EngineGroup): boolean {
    return membership === undefined ? leftEpoch !== undefined && leftEpoch >= epoch : membership.epoch > epoch;
}
