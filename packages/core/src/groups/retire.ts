/** Chooses the groups that retire, that is, get no new requests because they are replaced or no longer needed. */
import type { RowOf } from "../table/row.js";
import type { GroupsState, HeldGroup } from "./fold.js";

/** Input of the choice. Every daemon of the data centre computes it from the same records and the same table. */
export interface RetirementInput {
    readonly state: GroupsState;
    /** Models of the data centre. */
    readonly models: readonly RowOf<"model">[];
    /** Hosts that the platform lists as leaving or the table drains. */
    readonly leaving: ReadonlySet<string>;
    /** Number of hosts that report, are not leaving, and belong to no group. */
    readonly unowned: number;
    /** Returns whether all members of a group report it as ready. */
    isReady(group: HeldGroup): boolean;
}

/** Returns the models that the table assigns to a data centre. An empty list of data centres means all. */
export function modelsIn(models: readonly RowOf<"model">[], dataCentre: string): RowOf<"model">[] {
    return models.filter(model => model.dataCentres.length === 0 || model.dataCentres.includes(dataCentre));
}

/** Returns whether a group has the model, version and size of a row of the table. */
export function isCurrent(group: HeldGroup, model: RowOf<"model">): boolean {
    return group.model === model.name && group.version === model.version && group.members.length === model.members;
}

/** Returns the retiring groups by id, with the reason. */
export function retiringGroups(input: RetirementInput): ReadonlyMap<string, string> {
    const groups = Object.values(input.state.groups).toSorted((one, other) => one.fence - other.fence);
    const modelNames = new Set(input.models.map(model => model.name));
    const withReason = (reason: string) => (group: HeldGroup) => [group.group, reason] as const;
    return new Map([
        ...groups.filter(group => !modelNames.has(group.model)).map(withReason("the model is not in the table")),
        ...input.models.flatMap(model =>
            retiringOfModel(input, model, groups.filter(group => group.model === model.name))
                .map(([group, reason]) => [group, reason] as const)
        ),
        ...groups.filter(group => group.members.some(host => input.leaving.has(host)))
            .map(withReason("a member is leaving")),
    ]);
}

/**
 * Returns the surplus and outdated groups of one model. Outdated groups are replaced one at a time, and only while all
 * current groups are ready and no missing replica can be formed, so that a version change does not take all replicas
 * down together.
 */
function retiringOfModel(
    input: RetirementInput,
    model: RowOf<"model">,
    groups: readonly HeldGroup[],
): (readonly [string, string])[] {
    const current = groups.filter(group => isCurrent(group, model) && !hasLeavingMember(input, group));
    const changed = groups.filter(group => !isCurrent(group, model));
    const surplus = current.slice(model.replicas).map(group =>
        [group.group, "the table asks for fewer replicas"] as const
    );
    const complete = current.length + changed.length >= model.replicas || input.unowned < model.members;
    const outdated = complete && current.every(group => input.isReady(group)) ? changed.slice(0, 1) : [];
    return [...surplus, ...outdated.map(group => [group.group, "the table names another version or size"] as const)];
}

function hasLeavingMember(input: RetirementInput, group: HeldGroup): boolean {
    return group.members.some(host => input.leaving.has(host));
}
