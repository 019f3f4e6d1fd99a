/** What the daemon knows of the configuration and the targets, as the request path reads it. */
import {
    createRouteLookup,
    type EngineGroup,
    groupsOf,
    isServing,
    type RelayConfiguration,
    type RouteLookup,
    type Target,
} from "@damaskvale/core";

/** Current knowledge. All values are replaced, never changed in place. */
export interface RelayState {
    /** Absent until the first configuration is known. */
    lookup(): RouteLookup | undefined;
    targets(): readonly Target[];
    targetById(id: string): Target | undefined;
    /** Plain targets of a service that may get requests. */
    servingTargets(service: string): readonly Target[];
    /** Groups of an engine service that may get requests for a model. */
    servingGroups(service: string, model: string): readonly EngineGroup[];
    groups(service: string): readonly EngineGroup[];
    /** Takes a configuration unless an equal or newer one is in force; returns whether it was taken. */
    applyConfiguration(configuration: RelayConfiguration): boolean;
    applyTargets(changes: readonly { readonly key: string; readonly value?: Target; }[]): void;
    /** Replaces all targets. */
    replaceTargets(targets: readonly Target[]): void;
    /** Called after each change. */
    onChange(listener: () => void): void;
}

/** Makes an empty state. */
export function createRelayState(): RelayState {
    let lookup: RouteLookup | undefined;
    let targets = new Map<string, Target>();
    let groups = new Map<string, EngineGroup[]>();
    let byService = new Map<string, Target[]>();
    const listeners: (() => void)[] = [];

    const derive = (): void => {
        byService = new Map();
        targets.forEach(target => {
            byService.set(target.service, [...byService.get(target.service) ?? [], target]);
        });
        groups = new Map(
            (lookup?.configuration.services ?? []).flatMap(service =>
                service.engine === undefined
                    ? []
                    : [[service.name, groupsOf(byService.get(service.name) ?? [], service.engine.models)] as const]
            ),
        );
        listeners.forEach(listener => listener());
    };

    return {
        lookup: () => lookup,
        targets: () => [...targets.values()],
        targetById: id => targets.get(id),
        servingTargets: service => (byService.get(service) ?? []).filter(target => !target.draining),
        servingGroups: (service, model) =>
            (groups.get(service) ?? []).filter(group => group.model === model && isServing(group)),
        groups: service => groups.get(service) ?? [],
        applyConfiguration: configuration => {
            if (lookup !== undefined && configuration.version <= lookup.configuration.version) {
                return false;
            }
            lookup = createRouteLookup(configuration);
            derive();
            return true;
        },
        applyTargets: changes => {
            changes.forEach(({ key, value }) => {
                if (value === undefined) {
                    targets.delete(key);
                }
                else {
                    targets.set(key, value);
                }
            });
            derive();
        },
        replaceTargets: newest => {
            targets = new Map(newest.map(target => [target.id, target]));
            derive();
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
