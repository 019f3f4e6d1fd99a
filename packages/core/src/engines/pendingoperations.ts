/** What a planner remembers of its own orders until the hosts show their effect: groups being formed, models staged. */
import type { ModelProfile } from "../routes/types.js";
import type { EngineGroup } from "./groups.js";
import type { Target } from "./types.js";

/** A group that is being formed. */
export interface PendingGroup {
    readonly model: string;
    /** Ids of the members; the first one is the head. */
    readonly members: readonly string[];
    /** Monotonic milliseconds. */
    readonly startedAt: number;
}

interface Staging {
    readonly model: string;
    /** Start of the host that was ordered to stage; another start has forgotten the order. */
    readonly startedAt?: number;
    readonly until: number;
}

/** How long members may take to report that they join, on top of the time that the join itself takes. */
const JOIN_GRACE_MILLISECONDS = 2_500;
/** Loads take longer than their profile when many run at once. */
const LOAD_FACTOR = 2;

/** Record of one domain. Times are monotonic milliseconds. */
export class PendingOperations {
    private readonly groups = new Map<string, PendingGroup>();
    private readonly staging = new Map<string, Staging>();
    /** Model of the last group in which a host was ready since its start. Entries tell it only while the group lasts. */
    private readonly ran = new Map<string, { readonly model: string; readonly startedAt?: number; }>();

    note(group: string, formation: PendingGroup): void {
        this.groups.set(group, formation);
    }

    noteStaging({ id, startedAt }: Target, { name, loadMilliseconds }: ModelProfile, now: number): void {
        this.staging.set(id, { model: name, startedAt, until: now + LOAD_FACTOR * loadMilliseconds });
    }

    /** Model that a host was ordered to stage and does not hold yet, while that may still be in progress. */
    stagingOf({ id, startedAt, stagedModels }: Target): string | undefined {
        const staging = this.staging.get(id);
        const inProgress = staging !== undefined && staging.startedAt === startedAt
            && !stagedModels.includes(staging.model);
        return inProgress ? staging.model : undefined;
    }

    /** Models whose weights a host holds, or the one that it will hold in their place when its load ends. */
    modelsOf(target: Target): readonly string[] {
        const staging = this.stagingOf(target);
        return staging === undefined ? target.stagedModels : [staging];
    }

    /** Returns whether a host holds the weights of a model and is not about to drop them. */
    holds(target: Target, model: string): boolean {
        return target.stagedModels.includes(model) && this.stagingOf(target) === undefined;
    }

    /** Forgets an order to load that the host refused. */
    forgetStaging(host: string): void {
        this.staging.delete(host);
    }

    /** Notes the members of a group that are ready or serve. */
    noteReady({ model, members }: EngineGroup): void {
        if (model !== undefined) {
            members.filter(({ membership }) => membership !== undefined && membership.state !== "joining")
                .forEach(({ id, startedAt }) => this.ran.set(id, { model, startedAt }));
        }
    }

    /** Model of the last group in which a host was ready since its start, as far as this planner has seen it. */
    lastModelOf({ id, startedAt, model }: Target): string | undefined {
        const ran = this.ran.get(id);
        return ran !== undefined && ran.startedAt === startedAt ? ran.model : model;
    }

    /** Returns whether a group may still become whole. `lost` tells which hosts will not join. */
    isForming(
        group: EngineGroup,
        models: readonly ModelProfile[],
        lost: (host: string) => boolean,
        now: number,
    ): boolean {
        const formation = this.groups.get(group.name);
        const profile = models.find(model => model.name === group.model);
        const loading = group.members.some(member => member.membership?.state === "joining");
        if (formation === undefined || profile === undefined) {
            return loading;
        }
        // A group of fewer hosts only warms them up.
        const warmed = formation.members.length < profile.size
            && group.members.every(member => member.membership?.state === "ready");
        if (warmed) {
            this.groups.delete(group.name);
            return false;
        }
        const due = formation.startedAt + JOIN_GRACE_MILLISECONDS
            + (loading ? LOAD_FACTOR * profile.loadMilliseconds : 0);
        return now < due && !formation.members.some(lost);
    }

    /** Formation of a group that this planner ordered and still remembers. */
    of(group: string): PendingGroup | undefined {
        return this.groups.get(group);
    }

    /** Hosts that were asked to join a group and may not report it yet, leaving out groups that were given up. */
    expectedMembers(abandoned: ReadonlySet<string>, now: number): Set<string> {
        return new Set(
            [...this.groups]
                .filter(([name, { startedAt }]) => !abandoned.has(name) && now - startedAt < JOIN_GRACE_MILLISECONDS)
                .flatMap(([, { members }]) => members),
        );
    }

    /** Drops what is too old to matter, and what concerns hosts that are gone. */
    forgetOld(models: readonly ModelProfile[], known: ReadonlySet<string>, now: number): void {
        [...this.ran.keys()].filter(host => !known.has(host)).forEach(host => this.ran.delete(host));
        const longest = Math.max(0, ...models.map(model => model.loadMilliseconds));
        const oldest = now - LOAD_FACTOR * longest - JOIN_GRACE_MILLISECONDS;
        [...this.groups].filter(([, { startedAt }]) => startedAt < oldest).forEach(([name]) =>
            this.groups.delete(name)
        );
        [...this.staging].filter(([, { until }]) => until < now).forEach(([host]) => this.staging.delete(host));
    }
}
