/** What the daemon knows of the configuration and the targets, as the request path reads it. */
import {
    collectGroups,
    createRouteLookup,
    type EngineGroup,
    type GroupMembership,
    isEarlierMembership,
    isServing,
    type RelayConfiguration,
    type RouteLookup,
    type Target,
} from "@damaskvale/core";
import type { TopicChange } from "../ports/registry.js";

/** Membership of a host that another source than the registry tells. */
export interface ToldMembership {
    readonly host: string;
    /** Start of the host that said it, as in its entry. */
    readonly startedAt?: number;
    readonly model?: string;
    readonly membership?: GroupMembership;
}

/** What may happen to a target, for the log. Changes of load and membership are not among them. */
export type TargetChangeKind = "registered" | "restarted" | "draining" | "removed" | "lapsed" | "forgotten";

/** Receives changes of targets, with the target as it was or is. */
export type TargetChangeListener = (kind: TargetChangeKind, target: Target) => void;

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
    /** Groups of all services that may get requests. */
    countServingGroups(): number;
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

/** A write that was held up by a partition may arrive this long after its process was replaced. */
const DEPARTED_MEMORY_MILLISECONDS = 60_000;

/** Makes an empty state. */
export function createRelayState(onTarget: TargetChangeListener = () => undefined): RelayState {
    return new RelayStateTask(onTarget);
}

class RelayStateTask implements RelayState {
    private current: RouteLookup | undefined;
    private readonly known = new Map<string, Target>();
    private groupsByService = new Map<string, EngineGroup[]>();
    private targetsByService = new Map<string, Target[]>();
    /** Steps that follow the removal of an entry, by target. */
    private readonly removals = new Map<string, NodeJS.Timeout>();
    /** Targets that were dropped lately, by id, as they were. */
    private readonly departed = new Map<string, Target>();
    private readonly listeners: (() => void)[] = [];

    constructor(private readonly onTarget: TargetChangeListener) {}

    lookup(): RouteLookup | undefined {
        return this.current;
    }

    targets(): readonly Target[] {
        return [...this.known.values()];
    }

    targetById(id: string): Target | undefined {
        return this.known.get(id);
    }

    servingTargets(service: string): readonly Target[] {
        return (this.targetsByService.get(service) ?? []).filter(target => !target.draining && target.registered);
    }

    servingGroups(service: string, model: string): readonly EngineGroup[] {
        return this.groups(service).filter(group => group.model === model && isServing(group));
    }

    groups(service: string): readonly EngineGroup[] {
        return this.groupsByService.get(service) ?? [];
    }

    countServingGroups(): number {
        return [...this.groupsByService.values()].flat().filter(isServing).length;
    }

    applyConfiguration(configuration: RelayConfiguration): boolean {
        if (this.current !== undefined && configuration.version <= this.current.configuration.version) {
            return false;
        }
        this.current = createRouteLookup(configuration);
        this.derive();
        return true;
    }

    applyTargets(changes: readonly TopicChange<Target>[]): void {
        changes.forEach(change => this.change(change));
        this.derive();
    }

    replaceTargets(newest: readonly Target[]): void {
        const ids = new Set(newest.map(target => target.id));
        [...this.known.keys()].filter(id => !ids.has(id)).forEach(key => this.change({ key }));
        newest.forEach(target => this.change({ key: target.id, value: target }));
        this.derive();
    }

    applyMembership({ host, startedAt, model, membership }: ToldMembership): void {
        const target = this.known.get(host);
        if (target?.startedAt !== startedAt) {
            return;
        }
        const known = target?.membership;
        const isOlder = membership !== undefined && known !== undefined && isEarlierMembership(membership, known);
        if (target !== undefined && !isOlder) {
            this.known.set(host, { ...target, membership, model: model ?? target.model });
            this.derive();
        }
    }

    forget(id: string): void {
        const target = this.known.get(id);
        if (target?.registered === false) {
            this.drop(target, "forgotten");
            this.derive();
        }
    }

    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    private change({ key, value }: TopicChange<Target>): void {
        const target = this.known.get(key);
        if (value !== undefined && this.isReplaced(value)) {
            return;
        }
        if (value !== undefined) {
            clearTimeout(this.removals.get(key));
            this.removals.delete(key);
            this.known.set(key, value);
            this.tellChange(target, value);
            this.forgetLapsedAt(value.address);
        }
        else if (target === undefined) {
            return;
        }
        else if (target.draining) {
            this.drop(target, "removed");
        }
        else if (!this.removals.has(key)) {
            this.later(key, REGISTRATION_GRACE_MILLISECONDS, () => this.lapse(key));
        }
    }

    /** Forgets the lapsed host that had an address which now belongs to a registered target. */
    private forgetLapsedAt(address: string): void {
        [...this.known.values()].filter(target => !target.registered && target.address === address)
            .forEach(target => this.drop(target, "forgotten"));
    }

    /**
     * Returns whether an entry names a process that another one has replaced at its address. A write of the earlier
     * process that was held up may arrive after the later one registered.
     */
    private isReplaced({ id, address, startedAt }: Target): boolean {
        const before = this.departed.get(id);
        return before !== undefined && before.address === address && before.startedAt === startedAt
            && [...this.known.values()].some(other => other.id !== id && this.holds(other, address));
    }

    /** Returns whether a target has an address. An entry of an unknown service may be anybody's and proves nothing. */
    private holds(target: Target, address: string): boolean {
        return target.registered && target.address === address
            && this.current?.findService(target.service) !== undefined;
    }

    private drop(target: Target, kind: TargetChangeKind): void {
        this.known.delete(target.id);
        this.departed.set(target.id, target);
        setTimeout(() => this.departed.delete(target.id), DEPARTED_MEMORY_MILLISECONDS).unref();
        this.onTarget(kind, target);
    }

    private tellChange(before: Target | undefined, after: Target): void {
        if (before?.registered !== true) {
            this.onTarget("registered", after);
        }
        else if (before.startedAt !== after.startedAt) {
            this.onTarget("restarted", after);
        }
        if (after.draining && before?.draining !== true) {
            this.onTarget("draining", after);
        }
    }

    /**
     * Keeps a host whose entry lapsed as a possible member of a group, unless its address was taken over; plain targets
     * are forgotten.
     */
    private lapse(id: string): void {
        const target = this.known.get(id);
        if (target === undefined) {
            return;
        }
        const taken = [...this.known.values()].some(other => other.id !== id && other.address === target.address);
        if (target.domain === undefined || taken) {
            this.drop(target, "removed");
        }
        else {
            this.known.set(id, { ...target, registered: false });
            this.onTarget("lapsed", target);
            this.later(id, LAPSED_MILLISECONDS, () => this.forget(id));
        }
        this.derive();
    }

    /** Does something later unless the target is registered again in the meantime. */
    private later(id: string, milliseconds: number, act: () => void): void {
        const timer = setTimeout(() => {
            this.removals.delete(id);
            act();
        }, milliseconds);
        this.removals.set(id, timer.unref());
    }

    private derive(): void {
        this.targetsByService = new Map();
        this.known.forEach(target => {
            const ofService = this.targetsByService.get(target.service) ?? [];
            ofService.push(target);
            this.targetsByService.set(target.service, ofService);
        });
        this.groupsByService = new Map(
            (this.current?.configuration.services ?? []).flatMap(({ name, engine }) =>
                engine === undefined
                    ? []
                    : [[name, collectGroups(this.targetsByService.get(name) ?? [], engine.models)] as const]
            ),
        );
        this.listeners.forEach(listener => listener());
    }
}
