/** Tracks how long groups have been missing a member or retiring. Times are monotonic milliseconds. */
import {
    CONFIRMATION_BOUND_MILLISECONDS,
    type HeldGroup,
    MEMBER_LOSS_GRACE_MILLISECONDS,
    type Observation,
} from "@damaskvale/core";

/**
 * Grace period of a member that reports another role. It is longer than the one of a silent member, because orders to
 * the member may be in progress or retried.
 */
export const OTHER_ROLE_GRACE_MILLISECONDS = 3 * MEMBER_LOSS_GRACE_MILLISECONDS;
/** If two updates are further apart, this process was paused, and the time between them is not counted. */
const PAUSE_THRESHOLD_MILLISECONDS = 1_500;

interface ConditionStarts {
    readonly silent?: number;
    readonly otherRole?: number;
    readonly retiring?: number;
}

/** Measures durations across the steps of the groups task. */
export class GroupDurations {
    private starts: ReadonlyMap<string, ConditionStarts> = new Map();
    private updatedAt: number | undefined;

    /** Updates the durations with the groups as observed at `now`. */
    update(
        groups: readonly HeldGroup[],
        observations: ReadonlyMap<string, Observation>,
        retiring: ReadonlyMap<string, string>,
        now: number,
    ): void {
        const isFresh = ({ observedAt }: Observation) => observedAt >= now - CONFIRMATION_BOUND_MILLISECONDS;
        // A daemon that observes no host at all has lost its own network, which is no evidence about the members.
        const seesNoHost = ![...observations.values()].some(isFresh);
        const paused = this.updatedAt !== undefined && now - this.updatedAt > PAUSE_THRESHOLD_MILLISECONDS;
        const previousStarts = paused || seesNoHost ? new Map<string, ConditionStarts>() : this.starts;
        this.updatedAt = now;
        this.starts = new Map(groups.map(group => {
            const previous = previousStarts.get(group.group);
            const members = group.members.map(host => observations.get(host));
            const silent = members.some(observation => observation === undefined || !isFresh(observation));
            const reportsOtherRole = members.some(seen =>
                seen?.report.group !== group.group || seen.report.fence !== group.fence
            );
            const startTime = (holds: boolean, earlier: number | undefined) => holds ? earlier ?? now : undefined;
            return [group.group, {
                silent: startTime(silent, previous?.silent),
                otherRole: startTime(reportsOtherRole, previous?.otherRole),
                retiring: startTime(retiring.has(group.group), previous?.retiring),
            }];
        }));
    }

    /** Returns how long a member has been missing, scaled so that both grace periods end at the same value. */
    missingMilliseconds(group: string, now: number): number {
        const { silent, otherRole } = this.starts.get(group) ?? {};
        const silentMilliseconds = silent === undefined ? 0 : now - silent;
        const otherRoleMilliseconds = otherRole === undefined ? 0 : now - otherRole;
        return Math.max(
            silentMilliseconds,
            otherRoleMilliseconds * MEMBER_LOSS_GRACE_MILLISECONDS / OTHER_ROLE_GRACE_MILLISECONDS,
        );
    }

    /** Returns how long a group has been retiring. */
    retiringMilliseconds(group: string, now: number): number {
        const retiring = this.starts.get(group)?.retiring;
        return retiring === undefined ? 0 : now - retiring;
    }
}
