/** How long groups miss a member and how long they have been retiring. Times are monotonic milliseconds. */
import {
    CONFIRMATION_BOUND_MILLISECONDS,
    type HeldGroup,
    MEMBER_LOSS_GRACE_MILLISECONDS,
    type Observation,
} from "@damaskvale/core";

/**
 * How much longer a member may report another role than it may be silent: its orders may be in progress or repeated.
 */
export const OTHER_ROLE_GRACE_MILLISECONDS = 3 * MEMBER_LOSS_GRACE_MILLISECONDS;
/** When two notes lie further apart, this process was paused, and the time in between is not counted. */
const PAUSE_THRESHOLD_MILLISECONDS = 1_500;

interface Since {
    readonly silent?: number;
    readonly otherRole?: number;
    readonly retiring?: number;
}

/** Counts absences between the steps of the groups task. */
export class Absences {
    private since: ReadonlyMap<string, Since> = new Map();
    private notedAt: number | undefined;

    /** Notes the groups as they are seen at `now`. */
    note(
        groups: readonly HeldGroup[],
        observations: ReadonlyMap<string, Observation>,
        retiring: ReadonlyMap<string, string>,
        now: number,
    ): void {
        const fresh = ({ observedAt }: Observation) => observedAt >= now - CONFIRMATION_BOUND_MILLISECONDS;
        // A daemon that sees no host at all has lost its own network, which says nothing about the members.
        const blind = ![...observations.values()].some(fresh);
        const paused = this.notedAt !== undefined && now - this.notedAt > PAUSE_THRESHOLD_MILLISECONDS;
        const known = paused || blind ? new Map<string, Since>() : this.since;
        this.notedAt = now;
        this.since = new Map(groups.map(group => {
            const before = known.get(group.group);
            const members = group.members.map(host => observations.get(host));
            const silent = members.some(observation => observation === undefined || !fresh(observation));
            const other = members.some(seen => seen?.report.group !== group.group || seen.report.fence !== group.fence);
            const start = (holds: boolean, earlier: number | undefined) => holds ? earlier ?? now : undefined;
            return [group.group, {
                silent: start(silent, before?.silent),
                otherRole: start(other, before?.otherRole),
                retiring: start(retiring.has(group.group), before?.retiring),
            }];
        }));
    }

    /** Returns how long a member has been missing, scaled so that both graces end at the same value. */
    missingMilliseconds(group: string, now: number): number {
        const { silent, otherRole } = this.since.get(group) ?? {};
        const quiet = silent === undefined ? 0 : now - silent;
        const astray = otherRole === undefined ? 0 : now - otherRole;
        return Math.max(quiet, astray * MEMBER_LOSS_GRACE_MILLISECONDS / OTHER_ROLE_GRACE_MILLISECONDS);
    }

    /** Returns how long a group has been retiring. */
    retiringMilliseconds(group: string, now: number): number {
        const retiring = this.since.get(group)?.retiring;
        return retiring === undefined ? 0 : now - retiring;
    }
}
