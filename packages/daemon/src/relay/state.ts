/** Current configuration and targets, indexed for the request path. */
import {
    createRouteLookup,
    orderStatements,
    type RelayConfiguration,
    type RouteLookup,
    type ServingGroup,
    type StatedProcess,
    type Target,
} from "@damaskvale/core";
import type { TopicChange } from "../ports/registry.js";
import type { RelayState, ReportedMembership, TargetChangeKind, TargetChangeListener } from "./statetypes.js";
import { keepDraining, keepNewerFields, keepReportedGroup, withLeftEpoch } from "./targetentries.js";
import { createTargetIndexes } from "./targetindexes.js";
import { createWriteNumbers } from "./writenumbers.js";

/**
 * How long a target still counts as registered after its entry was removed without a draining notice. Entries that lapse
 * during a store outage return within about two seconds.
 */
const REGISTRATION_GRACE_MILLISECONDS = 1_000;
/** The same after the store came back from an older copy: entries are written again within about two seconds. */
const RESTORED_GRACE_MILLISECONDS = 2_200;
/** For this time, an entry that shows an earlier group, or is shown again, does not replace a reported membership. */
const REPORT_PRECEDENCE_MILLISECONDS = 3_000;
/** How long a host whose entry lapsed is kept while it still responds. */
const LAPSED_RETENTION_MILLISECONDS = 30_000;

/** A registry write that a network partition delayed may arrive this long after its process was replaced. */
const DROPPED_RETENTION_MILLISECONDS = 60_000;

/**
 * Creates an empty state; `isEvacuated` returns whether the targets of a data centre get no requests, and `admitsByPriority`
 * is whether different priorities of the routes of a service have an effect.
 */
export function createRelayState(
    onTargetChange: TargetChangeListener = () => undefined,
    isEvacuated: (dataCentre: string) => boolean = () => false,
    admitsByPriority = true,
): RelayState {
    return new RelayStateTask(onTargetChange, isEvacuated, admitsByPriority);
}

class RelayStateTask implements RelayState {
    private routeLookup: RouteLookup | undefined;
    private readonly targetsById = new Map<string, Target>();
    /** Last entry of each target as the registry shows it. */
    private readonly entries = new Map<string, Target>();
    private readonly writeNumbers = createWriteNumbers();
    /** When the membership of a target was reported that its entry does not show, in monotonic milliseconds. */
    private readonly reportedAt = new Map<string, number>();
    private readonly indexes = createTargetIndexes({
        targets: () => this.targetsById.values(),
        services: () => this.routeLookup?.configuration.services ?? [],
        isEvacuated: dataCentre => this.isEvacuated(dataCentre),
    });
    /** Ids of the hosts whose entries lapsed. */
    private readonly lapsedTargets = new Set<string>();
    /** Timers of the next step after the removal of an entry, by target id. */
    private readonly removalTimers = new Map<string, NodeJS.Timeout>();
    /** Targets that an older copy of the store lacks and whose entries are awaited again. */
    private readonly awaitedTargets = new Set<string>();
    /** Targets that a read of all entries lacked. It may be from before they registered; their entries are repeated then. */
    private readonly missingTargets = new Set<string>();
    /** Last state of recently dropped targets, by id. */
    private readonly droppedTargets = new Map<string, Target>();
    /** Ids of known targets whose process said itself that it leaves. */
    private readonly leavingTargets = new Set<string>();
    private readonly listeners: (() => void)[] = [];

    constructor(
        private readonly onTargetChange: TargetChangeListener,
        readonly isEvacuated: (dataCentre: string) => boolean,
        private readonly admitsByPriority: boolean,
    ) {}

    lookup(): RouteLookup | undefined {
        return this.routeLookup;
    }

    targets(): readonly Target[] {
        return [...this.targetsById.values()];
    }

    targetById(id: string): Target | undefined {
        return this.targetsById.get(id);
    }

    targetsOf(service: string): readonly Target[] {
        return this.indexes.targetsOf(service);
    }

    servingTargets(service: string): readonly Target[] {
        return this.indexes.targetsOf(service)
            .filter(target => !target.draining && target.registered && !this.isEvacuated(target.dataCentre));
    }

    servingGroups(service: string, model: string): readonly ServingGroup[] {
        return this.indexes.servingGroupsOf(service, model);
    }

    countServingGroups(): number {
        return this.indexes.countServingGroups();
    }

    applyConfiguration(configuration: RelayConfiguration): boolean {
        if (this.routeLookup !== undefined && configuration.version <= this.routeLookup.configuration.version) {
            return false;
        }
        this.routeLookup = createRouteLookup(configuration, this.admitsByPriority);
        this.notifyListeners();
        return true;
    }

    applyTargets(changes: readonly TopicChange<Target>[]): void {
        const applied = changes.filter(change => this.change(change));
        if (applied.length > 0) {
            this.notifyListeners();
        }
    }

    applyEvacuations(): void {
        this.notifyListeners();
    }

    replaceTargets(latest: readonly Target[], isRestored = false): void {
        const ids = new Set(latest.map(target => target.id));
        const missing = [...this.targetsById.keys()].filter(id => !ids.has(id));
        if (isRestored) {
            missing.filter(id => !this.removalTimers.has(id) || this.awaitedTargets.has(id))
                .forEach(id => this.awaitEntry(id));
        }
        else {
            missing.filter(id => !this.awaitedTargets.has(id)).forEach(id => this.recordMissing(id));
        }
        latest.map(target => isRestored ? keepNewerFields(target, this.targetsById.get(target.id)) : target)
            .forEach(target => this.change({ key: target.id, value: target }));
        this.notifyListeners();
    }

    applyMembership({ host, startedAt, model, membership, leftEpoch }: ReportedMembership): void {
        const target = this.targetsById.get(host);
        const isKnownProcess = target !== undefined && target.startedAt === startedAt;
        if (!isKnownProcess || orderStatements({ membership, leftEpoch }, target) === "earlier") {
            return;
        }
        this.targetsById.set(host, {
            ...target,
            membership,
            leftEpoch: leftEpoch ?? target.leftEpoch,
            model: model ?? target.model,
        });
        this.reportedAt.set(host, performance.now());
        this.notifyListeners();
    }

    drain({ target: id, startedAt }: StatedProcess): boolean {
        const dropped = this.droppedTargets.get(id);
        if (dropped !== undefined && dropped.startedAt === startedAt) {
            this.droppedTargets.set(id, { ...dropped, draining: true });
        }
        const target = this.targetsById.get(id);
        if (target === undefined || target.startedAt !== startedAt) {
            return false;
        }
        this.leavingTargets.add(id);
        if (!target.draining) {
            const draining = { ...target, draining: true };
            this.targetsById.set(id, draining);
            this.onTargetChange("draining", draining);
            this.notifyListeners();
        }
        return true;
    }

    forget(id: string): void {
        const target = this.targetsById.get(id);
        if (target?.registered === false) {
            this.drop(target, "forgotten");
            this.notifyListeners();
        }
    }

    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    /** Applies a change; returns whether it may have changed anything. */
    private change({ key, value: shown, writeNumber }: TopicChange<Target>): boolean {
        const target = this.targetsById.get(key);
        const isLate = shown !== undefined && this.writeNumbers.isLate(shown, writeNumber);
        // A late entry states nothing but that its process is registered.
        const value = isLate ? this.entries.get(key) : shown;
        const isIgnored = value === undefined
            ? target === undefined
            : (isLate && !this.missingTargets.has(key)) || this.isUnchanged(value)
                || this.isFromReplacedProcess(value);
        if (isIgnored) {
            return false;
        }
        this.missingTargets.delete(key);
        if (value !== undefined) {
            clearTimeout(this.removalTimers.get(key));
            this.removalTimers.delete(key);
            this.awaitedTargets.delete(key);
            const entry = this.withKnownGroup(
                keepDraining(value, target ?? this.droppedTargets.get(key), this.leavingTargets.has(key)),
                target,
            );
            this.entries.set(key, value);
            if (entry.startedAt !== target?.startedAt) {
                this.leavingTargets.delete(key);
            }
            this.targetsById.set(key, entry);
            this.lapsedTargets.delete(key);
            this.notifyChange(target, entry);
            this.forgetLapsedAt(value.address);
        }
        else if (target === undefined) {
            return false;
        }
        else if (target.draining && !this.leavingTargets.has(key)) {
            this.drop(target, "removed");
        }
        else if (!this.removalTimers.has(key) || this.awaitedTargets.delete(key)) {
            this.schedule(key, REGISTRATION_GRACE_MILLISECONDS, () => this.markLapsed(key));
        }
        return true;
    }

    /** Records that a read of all entries lacks a target. A removal that was read before stays one. */
    private recordMissing(id: string): void {
        const isRemoved = this.removalTimers.has(id) && !this.missingTargets.has(id);
        this.change({ key: id });
        if (!isRemoved && this.targetsById.has(id)) {
            this.missingTargets.add(id);
        }
    }

    /** Waits for the entry of a target to be written again after the store came back from an older copy. */
    private awaitEntry(id: string): void {
        this.awaitedTargets.add(id);
        this.schedule(id, RESTORED_GRACE_MILLISECONDS, () => {
            this.awaitedTargets.delete(id);
            this.markLapsed(id);
        });
    }

    /** Returns whether the last entry of a target is shown again, and what it shows is known or was reported since. */
    private isUnchanged(entry: Target): boolean {
        return entry === this.entries.get(entry.id) && !this.removalTimers.has(entry.id)
            && (!this.reportedAt.has(entry.id) || this.isReportedRecently(entry.id));
    }

    private isReportedRecently(id: string): boolean {
        const reportedAt = this.reportedAt.get(id) ?? Number.NEGATIVE_INFINITY;
        return performance.now() - reportedAt < REPORT_PRECEDENCE_MILLISECONDS;
    }

    /** Returns an entry with the group that was reported a short time ago, if that is later than the entry's. */
    private withKnownGroup(entry: Target, known: Target | undefined): Target {
        const reported = known !== undefined && this.isReportedRecently(entry.id)
            ? keepReportedGroup(entry, known)
            : undefined;
        if (reported === undefined) {
            this.reportedAt.delete(entry.id);
        }
        return reported ?? withLeftEpoch(entry, this.entries.get(entry.id), known);
    }

    /** Drops lapsed hosts whose address now belongs to a registered target. */
    private forgetLapsedAt(address: string): void {
        [...this.lapsedTargets].flatMap(id => this.targetsById.get(id) ?? [])
            .filter(target => target.address === address)
            .forEach(target => this.drop(target, "forgotten"));
    }

    /**
     * Returns whether an entry belongs to a process that another process has replaced at the same address. A delayed
     * write of the earlier process may arrive after the later one registered.
     */
    private isFromReplacedProcess({ id, address, startedAt }: Target): boolean {
        const before = this.droppedTargets.get(id);
        return before !== undefined && before.address === address && before.startedAt === startedAt
            && [...this.targetsById.values()].some(other => other.id !== id && this.ownsAddress(other, address));
    }

    /** Returns whether a target is registered at an address. Entries of unknown services are not trusted as proof. */
    private ownsAddress(target: Target, address: string): boolean {
        return target.registered && target.address === address
            && this.routeLookup?.findService(target.service) !== undefined;
    }

    private drop(target: Target, kind: TargetChangeKind): void {
        this.targetsById.delete(target.id);
        this.entries.delete(target.id);
        this.writeNumbers.forget(target.id);
        this.reportedAt.delete(target.id);
        this.missingTargets.delete(target.id);
        this.lapsedTargets.delete(target.id);
        this.leavingTargets.delete(target.id);
        this.droppedTargets.set(target.id, target);
        setTimeout(() => this.droppedTargets.delete(target.id), DROPPED_RETENTION_MILLISECONDS).unref();
        this.onTargetChange(kind, target);
    }

    private notifyChange(before: Target | undefined, after: Target): void {
        if (before?.registered !== true) {
            this.onTargetChange("registered", after);
        }
        else if (before.startedAt !== after.startedAt) {
            this.onTargetChange("restarted", after);
        }
        if (after.draining && before?.draining !== true) {
            this.onTargetChange("draining", after);
        }
    }

    /**
     * Keeps a host whose entry lapsed as a possible member of a group, unless another target has its address. Plain
     * targets are dropped.
     */
    private markLapsed(id: string): void {
        const target = this.targetsById.get(id);
        if (target === undefined) {
            return;
        }
        const isAddressTaken = [...this.targetsById.values()].some(other =>
            other.id !== id && other.address === target.address
        );
        if (target.domain === undefined || isAddressTaken) {
            this.drop(target, "removed");
        }
        else {
            this.targetsById.set(id, { ...target, registered: false });
            this.lapsedTargets.add(id);
            this.onTargetChange("lapsed", target);
            this.schedule(id, LAPSED_RETENTION_MILLISECONDS, () => this.forget(id));
        }
        this.notifyListeners();
    }

    /** Runs an action after a delay unless the target is registered or scheduled again before. */
    private schedule(id: string, milliseconds: number, action: () => void): void {
        clearTimeout(this.removalTimers.get(id));
        const timer = setTimeout(() => {
            this.removalTimers.delete(id);
            action();
        }, milliseconds);
        this.removalTimers.set(id, timer.unref());
    }

    private notifyListeners(): void {
        this.indexes.invalidate();
        this.listeners.forEach(listener => listener());
    }
}
