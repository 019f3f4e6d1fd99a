/** Targets by service and their groups. They are computed when they are first asked for after a change. */
import { collectGroups, type EngineGroup, groupBy, isServing, type Service, type Target } from "@damaskvale/core";

/** Indexes of the known targets. */
export interface TargetIndexes {
    /** Discards what was computed, because a target or the configuration changed. */
    invalidate(): void;
    targetsOf(service: string): readonly Target[];
    groupsOf(service: string): readonly EngineGroup[];
    /** Returns the groups of a service that accept requests for a model. */
    servingGroupsOf(service: string, model: string): readonly EngineGroup[];
    /** Number of groups of all services that accept requests. */
    countServingGroups(): number;
}

/** What the indexes are computed from. */
export interface IndexedState {
    readonly targets: () => Iterable<Target>;
    readonly services: () => readonly Service[];
}

interface ComputedIndexes {
    readonly targetsByService: ReadonlyMap<string, readonly Target[]>;
    readonly groupsByService: ReadonlyMap<string, readonly EngineGroup[]>;
    /** Serving groups by service and model. */
    readonly servingByService: ReadonlyMap<string, ReadonlyMap<string, readonly EngineGroup[]>>;
}

/** Creates indexes, which are computed for the first time when they are used. */
export function createTargetIndexes(state: IndexedState): TargetIndexes {
    let computed: ComputedIndexes | undefined;
    const current = (): ComputedIndexes => {
        computed ??= computeIndexes(state);
        return computed;
    };
    return {
        invalidate: () => {
            computed = undefined;
        },
        targetsOf: service => current().targetsByService.get(service) ?? [],
        groupsOf: service => current().groupsByService.get(service) ?? [],
        servingGroupsOf: (service, model) => current().servingByService.get(service)?.get(model) ?? [],
        countServingGroups: () => [...current().groupsByService.values()].flat().filter(isServing).length,
    };
}

function computeIndexes({ targets, services }: IndexedState): ComputedIndexes {
    const targetsByService = groupBy([...targets()], target => target.service);
    const groupsByService = new Map(
        services().flatMap(({ name, engine }) =>
            engine === undefined
                ? []
                : [[name, collectGroups(targetsByService.get(name) ?? [], engine.models)] as const]
        ),
    );
    const servingByService = new Map(
        [...groupsByService].map(([service, groups]) => [service, servingByModel(groups)] as const),
    );
    return { targetsByService, groupsByService, servingByService };
}

function servingByModel(groups: readonly EngineGroup[]): Map<string, EngineGroup[]> {
    const known = groups.filter(group => group.model !== undefined && isServing(group));
    return groupBy(known, ({ model = "" }) => model);
}
