/** Baseline planner: takes free hosts in list order and ignores spares, fabric domains, cost weights and load limits. */
import {
    formAction,
    freeHosts,
    type PlanAction,
    planGroups,
    type PlanInput,
    plannedModels,
    replicasOf,
} from "./plan.js";

/** Dissolves groups and clears hosts like `planGroups`, but forms groups by first fit. */
export function planFirstFit(input: PlanInput): PlanAction[] {
    const free = freeHosts(input).map(host => host.listed.host);
    const forms = plannedModels(input).toSorted((one, other) => one.name.localeCompare(other.name)).flatMap(model => {
        const missing = Math.max(0, model.replicas - replicasOf(input, model).length);
        const possible = Math.min(missing, Math.floor(free.length / model.members));
        return Array.from({ length: possible }, () => formAction(input.state, model, free.splice(0, model.members)));
    });
    return [...planGroups(input).filter(action => action.kind !== "form"), ...forms];
}
