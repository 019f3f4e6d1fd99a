/** Which groups get no new work because they are about to be replaced or are no longer wanted. */
import type { RowOf } from "../table/row.js";
import type { GroupsState, HeldGroup } from "./fold.js";

/** What decides about retirement. Every daemon of the data centre computes it from the same records and table. */
export interface RetirementInput {
    readonly state: GroupsState;
    /** Models of the data centre. */
    readonly models: readonly RowOf<"model">[];
    /** Hosts that are leaving by the platform's list or draining by the table. */
    readonly leaving: ReadonlySet<string>;
    /** Number of hosts that report, are not leaving, and belong to no group. */
    readonly unowned: number;
    /** Whether all members of a group report it as ready. */
    isReady(group: HeldGroup): boolean;
}

/** Returns the models that the table wants in a data centre. An empty list of data centres means all. */
export function modelsIn(models: readonly RowOf<"model">[], dataCentre: string): RowOf<"model">[] {
    return models.filter(model => model.dataCentres.length === 0 || model.dataCentres.includes(dataCentre));
}

/** Returns whether a group has the version and size that its model's row names. */
export function isCurrent(group: HeldGroup, model: RowOf<"model">): boolean {
    return group.model === model.name && group.version === model.version && group.members.length === model.members;
}

/** Returns the groups that get no new work, with the reason. */
export function retiringGroups(input: RetirementInput): ReadonlyMap<string, string> {
    const groups = Object.values(input.state.groups).toSorted((one, other) => one.fence - other.fence);
    const names = new Set(input.models.map(model => model.name));
    const named = (reason: string) => (group: HeldGroup) => [group.group, reason] as const;
    return new Map([
        ...groups.filter(group => !names.has(group.model)).map(named("the model is not in the table")),
        ...input.models.flatMap(model =>
            retiringOf(input, model, groups.filter(group => group.model === model.name))
                .map(([group, reason]) => [group, reason] as const)
        ),
        ...groups.filter(group => group.members.some(host => input.leaving.has(host)))
            .map(named("a member is leaving")),
    ]);
}

/**
 * Groups of an older version or size are replaced one at a time, and only while all current groups are ready and no
 * missing replica can be formed, so that an edit of the version does not take all replicas down together.
 */
function retiringOf(
    input: RetirementInput,
    model: RowOf<"model">,
    groups: readonly HeldGroup[],
): (readonly [string, string])[] {
    const current = groups.filter(group => isCurrent(group, model) && !hasLeaving(input, group));
    const changed = groups.filter(group => !isCurrent(group, model));
    const surplus = current.slice(model.replicas).map(group =>
        [group.group, "the table asks for fewer replicas"] as const
    );
    const complete = current.length + changed.length >= model.replicas || input.unowned < model.members;
    const outdated = complete && current.every(group => input.isReady(group)) ? changed.slice(0, 1) : [];
    return [...surplus, ...outdated.map(group => [group.group, "the table names another version or size"] as const)];
}

function hasLeaving(input: RetirementInput, group: HeldGroup): boolean {
    return group.members.some(host => input.leaving.has(host));
}
