/** Targets by service and the groups that serve. They are computed when they are first asked for after a change. */
import {
    collectServingGroups,
    type EngineProfile,
    groupBy,
    type Service,
    type ServingGroup,
    type Target,
} from "@damaskvale/core";

/** Indexes of the known targets. */
export interface TargetIndexes {
    /** Discards what was computed, because a target or the configuration changed. */
    invalidate(): void;
    targetsOf(service: string): readonly Target[];
    /** Returns the groups of a service that accept requests for a model. */
    servingGroupsOf(service: string, model: string): readonly ServingGroup[];
    /** Number of groups of all services that accept requests. */
    countServingGroups(): number;
}

/** What the indexes are computed from. */
export interface IndexedState {
    readonly targets: () => Iterable<Target>;
    readonly services: () => readonly Service[];
    readonly isEvacuated: (dataCentre: string) => boolean;
}

interface ComputedIndexes {
    readonly targetsByService: ReadonlyMap<string, readonly Target[]>;
    readonly servingByService: ReadonlyMap<string, readonly ServingGroup[]>;
    /** Serving groups by service and model. */
    readonly servingByModel: ReadonlyMap<string, ReadonlyMap<string, readonly ServingGroup[]>>;
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
        servingGroupsOf: (service, model) => current().servingByModel.get(service)?.get(model) ?? [],
        countServingGroups: () => [...current().servingByService.values()].flat().length,
    };
}

function computeIndexes({ targets, services, isEvacuated }: IndexedState): ComputedIndexes {
    const targetsByService = groupBy([...targets()], target => target.service);
    const servingByService = new Map(
        services().flatMap(({ name, engine }) =>
            engine === undefined
                ? []
                : [[name, collectUsableGroups(targetsByService.get(name) ?? [], engine, isEvacuated)] as const]
        ),
    );
    const servingByModel = new Map(
        [...servingByService].map(([service, groups]) => [service, groupByModel(groups)] as const),
    );
    return { targetsByService, servingByService, servingByModel };
}

/** Returns the groups that accept requests and have no host in an evacuated data centre. */
function collectUsableGroups(
    targets: readonly Target[],
    { models }: EngineProfile,
    isEvacuated: IndexedState["isEvacuated"],
): readonly ServingGroup[] {
    const evacuated = new Set(
        targets.filter(({ dataCentre }) => isEvacuated(dataCentre)).map(({ membership }) => membership?.group),
    );
    return collectServingGroups(targets, models)
        .filter(({ head }) => !isEvacuated(head.dataCentre) && !evacuated.has(head.membership?.group));
}

function groupByModel(groups: readonly ServingGroup[]): Map<string, ServingGroup[]> {
    return groupBy(groups.filter(({ model }) => model !== undefined), ({ model = "" }) => model);
}
