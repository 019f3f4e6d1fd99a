/** Current configuration and targets as the rest of the daemon sees them. */
import type {
    GroupMembership,
    RelayConfiguration,
    RouteLookup,
    ServingGroup,
    StatedProcess,
    Target,
} from "@damaskvale/core";
import type { TopicChange } from "../ports/registry.js";

/** Group membership of a host that was reported by its engine or another daemon, not by the registry. */
export interface ReportedMembership {
    readonly host: string;
    /** Start time of the process that reported it, as in its registry entry. */
    readonly startedAt?: number;
    readonly model?: string;
    readonly membership?: GroupMembership;
    /** Epoch of the group that the host has left if it is in none; absent if it is unknown. */
    readonly leftEpoch?: number;
}

/** Kinds of logged target changes. Changes of load and membership are not logged. */
export type TargetChangeKind = "registered" | "restarted" | "draining" | "removed" | "lapsed" | "forgotten";

/** Called for each logged change, with the new state of the target, or its last state if it was dropped or lapsed. */
export type TargetChangeListener = (kind: TargetChangeKind, target: Target) => void;

/** Current state. Values are replaced, never mutated. */
export interface RelayState {
    /** Undefined until the first configuration is applied. */
    lookup(): RouteLookup | undefined;
    /** Registered targets, and hosts whose entry lapsed recently. */
    targets(): readonly Target[];
    targetById(id: string): Target | undefined;
    /** Known targets of a service; the same array until something changes. */
    targetsOf(service: string): readonly Target[];
    /** Whether the targets of a data centre get no requests. */
    isEvacuated(dataCentre: string): boolean;
    /** Registered targets of a service that are not draining and whose data centre is not evacuated. */
    servingTargets(service: string): readonly Target[];
    /** Groups of an engine service that accept requests for a model, without those with a host of an evacuated data centre. */
    servingGroups(service: string, model: string): readonly ServingGroup[];
    /** Number of groups of all services that accept requests. */
    countServingGroups(): number;
    /** Applies a configuration unless the same or a newer version is in force; returns whether it was applied. */
    applyConfiguration(configuration: RelayConfiguration): boolean;
    applyTargets(changes: readonly TopicChange<Target>[]): void;
    /** Computes anew which targets and groups may get requests, because evacuations of data centres changed. */
    applyEvacuations(): void;
    /**
     * Applies a membership unless a later one is known. It holds until the registry shows another entry of the process, or the
     * same one some time later.
     */
    applyMembership(reported: ReportedMembership): void;
    /**
     * Marks a process of a target as draining, because it says so itself. No entry of the same process lifts this. Returns
     * whether the target is known as this process.
     */
    drain(process: StatedProcess): boolean;
    /** Drops a host whose entry lapsed; does nothing while the host is registered. */
    forget(id: string): void;
    /**
     * Replaces all targets. With `isRestored`, the entries come from an older copy of the store: what is known of a process
     * is kept where its entry is older, and a missing entry counts as removed only if it is not written again in time.
     */
    replaceTargets(targets: readonly Target[], isRestored?: boolean): void;
    /** Registers a listener that is called after each change. */
    onChange(listener: () => void): void;
}
