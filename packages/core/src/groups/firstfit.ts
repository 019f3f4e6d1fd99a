/** Baseline planner: takes free hosts in list order, without spares, fabric domains, weights or rationed loads. */
import {
    formAction,
    freeHosts,
    type PlanAction,
    planGroups,
    type PlanInput,
    plannedModels,
    replicasOf,
} from "./plan.js";

/** Plans like `planGroups` when to dissolve and clear, but forms groups by first fit. */
export function planFirstFit(input: PlanInput): PlanAction[] {
    const free = freeHosts(input).map(host => host.listed.host);
    const forms = plannedModels(input).toSorted((one, other) => one.name.localeCompare(other.name)).flatMap(model => {
        const missing = Math.max(0, model.replicas - replicasOf(input, model).length);
        const possible = Math.min(missing, Math.floor(free.length / model.members));
        return Array.from({ length: possible }, () => formAction(input.state, model, free.splice(0, model.members)));
    });
    return [...planGroups(input).filter(action => action.kind !== "form"), ...forms];
}
