/** What the daemon knows of the configuration and the targets, as the request path reads it. */
import {
    createRouteLookup,
    type EngineGroup,
    type GroupMembership,
    groupsOf,
    isServing,
    type RelayConfiguration,
    type RouteLookup,
    type Target,
} from "@damaskvale/core";
import type { TopicChange } from "../ports/registry.js";

/** Membership of a host that another source than the registry tells. */
export interface ToldMembership {
    readonly host: string;
    readonly model?: string;
    readonly membership?: GroupMembership;
}

/** Current knowledge. All values are replaced, never changed in place. */
export interface RelayState {
    /** Absent until the first configuration is known. */
    lookup(): RouteLookup | undefined;
    /** Registered targets, and hosts whose entry lapsed a short time ago. */
    targets(): readonly Target[];
    targetById(id: string): Target | undefined;
    /** Plain targets of a service that may get requests. */
    servingTargets(service: string): readonly Target[];
    /** Groups of an engine service that may get requests for a model. */
    servingGroups(service: string, model: string): readonly EngineGroup[];
    groups(service: string): readonly EngineGroup[];
    /** Takes a configuration unless an equal or newer one is in force; returns whether it was taken. */
    applyConfiguration(configuration: RelayConfiguration): boolean;
    applyTargets(changes: readonly TopicChange<Target>[]): void;
    /** Takes a membership that holds until the registry tells a newer one. */
    applyMembership(told: ToldMembership): void;
    /** Forgets a host whose entry lapsed, because it does not answer either. */
    forget(id: string): void;
    /** Replaces all targets. */
    replaceTargets(targets: readonly Target[]): void;
    /** Called after each change. */
    onChange(listener: () => void): void;
}

/**
 * How long a target whose entry was removed without a notice of its leaving still counts as registered. Entries that
 * lapse while the store is away come back within about two seconds.
 */
const REGISTRATION_GRACE_MILLISECONDS = 1_000;
/** How long a host whose entry lapsed is kept, as long as it answers. */
const LAPSED_MILLISECONDS = 30_000;

/** Makes an empty state. */
export function createRelayState(): RelayState {
    let lookup: RouteLookup | undefined;
    const targets = new Map<string, Target>();
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

    const change = ({ key, value }: TopicChange<Target>): void => {
        const known = targets.get(key);
        if (value !== undefined) {
            targets.set(key, value);
            return;
        }
        if (known === undefined || known.draining) {
            targets.delete(key);
            return;
        }
        if (known.registered) {
            after(REGISTRATION_GRACE_MILLISECONDS, known, () => lapse(known));
        }
    };
    const lapse = (known: Target): void => {
        if (known.domain === undefined) {
            targets.delete(known.id);
        }
        else {
            const lapsed = { ...known, registered: false };
            targets.set(known.id, lapsed);
            after(LAPSED_MILLISECONDS, lapsed, () => targets.delete(known.id));
        }
        derive();
    };
    /** Does something later unless the target changed in the meantime. */
    const after = (milliseconds: number, known: Target, act: () => void): void => {
        setTimeout(() => {
            if (targets.get(known.id) === known) {
                act();
            }
        }, milliseconds).unref();
    };

    return {
        lookup: () => lookup,
        targets: () => [...targets.values()],
        targetById: id => targets.get(id),
        servingTargets: service =>
            (byService.get(service) ?? []).filter(target => !target.draining && target.registered),
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
            changes.forEach(change);
            derive();
        },
        applyMembership: ({ host, model, membership }) => {
            const known = targets.get(host);
            if (known !== undefined && (membership?.epoch ?? Number.MAX_VALUE) >= (known.membership?.epoch ?? 0)) {
                targets.set(host, { ...known, membership, model: model ?? known.model });
                derive();
            }
        },
        forget: id => {
            if (targets.get(id)?.registered === false) {
                targets.delete(id);
                derive();
            }
        },
        replaceTargets: newest => {
            const ids = new Set(newest.map(target => target.id));
            [...targets.keys()].filter(id => !ids.has(id)).forEach(key => change({ key }));
            newest.forEach(target => change({ key: target.id, value: target }));
            derive();
        },
        onChange: listener => {
            listeners.push(listener);
        },
    };
}
