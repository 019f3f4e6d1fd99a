/** Orders of a planner whose effect the hosts do not report yet: groups being formed and weights being loaded. */
import type { ModelProfile } from "../routes/types.js";
import type { EngineGroup } from "./groups.js";
import type { Target } from "./types.js";

/** A group that is being formed. */
export interface PendingGroup {
    readonly model: string;
    /** Ids of the members; the first one is the head. */
    readonly members: readonly string[];
    /** When the members were ordered to join, in monotonic milliseconds. */
    readonly startedAt: number;
    /** Whether a member refused to join, so that the group cannot become complete. */
    readonly givenUp?: true;
}

interface PendingLoad {
    readonly model: string;
    /** Start of the host process that received the order; a restarted process no longer knows the order. */
    readonly startedAt?: number;
    readonly expiresAt: number;
}

/** How long members may take to report that they join, on top of the time that the join itself takes. */
const JOIN_GRACE_MILLISECONDS = 2_500;
/** Loads take longer than their profile when many run at once. */
const LOAD_TIMEOUT_FACTOR = 2;

/** Pending operations of one domain. Times are monotonic milliseconds. */
export class PendingOperations {
    private readonly groups = new Map<string, PendingGroup>();
    private readonly loads = new Map<string, PendingLoad>();
    /** Model of the last group in which a host was ready since its start. Entries omit it after the group. */
    private readonly lastModels = new Map<string, { readonly model: string; readonly startedAt?: number; }>();

    /** Records that the members of a group were ordered to join it. */
    recordGroup(group: string, pendingGroup: PendingGroup): void {
        this.groups.set(group, pendingGroup);
    }

    /** Records that a host was ordered to load the weights of a model. */
    recordLoad({ id, startedAt }: Target, { name, loadMilliseconds }: ModelProfile, now: number): void {
        this.loads.set(id, { model: name, startedAt, expiresAt: now + LOAD_TIMEOUT_FACTOR * loadMilliseconds });
    }

    /** Returns the model whose weights a host was ordered to load and does not hold yet, until the load times out. */
    loadingModelOf({ id, startedAt, stagedModels }: Target): string | undefined {
        const load = this.loads.get(id);
        const inProgress = load !== undefined && load.startedAt === startedAt
            && !stagedModels.includes(load.model);
        return inProgress ? load.model : undefined;
    }

    /** Models whose weights a host holds, or the one that it will hold in their place when its load ends. */
    expectedModelsOf(target: Target): readonly string[] {
        const loadingModel = this.loadingModelOf(target);
        return loadingModel === undefined ? target.stagedModels : [loadingModel];
    }

    /** Returns whether a host holds the weights of a model and is not about to drop them. */
    holdsWeights(target: Target, model: string): boolean {
        return target.stagedModels.includes(model) && this.loadingModelOf(target) === undefined;
    }

    /** Records that a group cannot become complete. Its members are ordered to leave it. */
    giveUpGroup(name: string): void {
        const group = this.groups.get(name);
        if (group !== undefined) {
            this.groups.set(name, { ...group, givenUp: true });
        }
    }

    /** Removes a load that the host refused. */
    removeLoad(host: string): void {
        this.loads.delete(host);
    }

    /** Records the model of all members that have finished joining. */
    recordReadyMembers({ model, members }: EngineGroup): void {
        if (model !== undefined) {
            members.filter(({ membership }) => membership !== undefined && membership.state !== "joining")
                .forEach(({ id, startedAt }) => this.lastModels.set(id, { model, startedAt }));
        }
    }

    /** Returns the model of the last group in which a host was ready since its start, or else the reported model. */
    lastModelOf({ id, startedAt, model }: Target): string | undefined {
        const last = this.lastModels.get(id);
        return last !== undefined && last.startedAt === startedAt ? last.model : model;
    }

    /** Returns whether a group may still become complete. `lost` returns whether a host will not join. */
    isForming(
        group: EngineGroup,
        models: readonly ModelProfile[],
        lost: (host: string) => boolean,
        now: number,
    ): boolean {
        const pendingGroup = this.groups.get(group.name);
        const profile = models.find(model => model.name === group.model);
        const loading = group.members.some(member => member.membership?.state === "joining");
        if (pendingGroup === undefined || profile === undefined) {
            return loading;
        }
        // A group of fewer hosts only warms them up; the configuration may also ask for another size by now.
        const willNotOpen = pendingGroup.members.length !== profile.size
            && group.members.every(member => member.membership?.state === "ready");
        if (willNotOpen) {
            this.groups.delete(group.name);
            return false;
        }
        const deadline = pendingGroup.startedAt + JOIN_GRACE_MILLISECONDS
            + (loading ? LOAD_TIMEOUT_FACTOR * profile.loadMilliseconds : 0);
        return now < deadline && pendingGroup.givenUp !== true && !pendingGroup.members.some(lost);
    }

    /** Returns a group that this planner ordered to be formed, unless it has expired. */
    groupByName(group: string): PendingGroup | undefined {
        return this.groups.get(group);
    }

    /** Returns hosts that were ordered to join a group and may not report it yet, except those of abandoned groups. */
    expectedMembers(abandoned: ReadonlySet<string>, now: number): Set<string> {
        return new Set(
            [...this.groups]
                .filter(([name, { startedAt, givenUp }]) =>
                    !abandoned.has(name) && givenUp !== true && now - startedAt < JOIN_GRACE_MILLISECONDS
                )
                .flatMap(([, { members }]) => members),
        );
    }

    /** Removes groups and loads that have timed out, and the last models of hosts that are no longer known. */
    removeExpired(models: readonly ModelProfile[], knownHosts: ReadonlySet<string>, now: number): void {
        [...this.lastModels.keys()].filter(host => !knownHosts.has(host)).forEach(host => this.lastModels.delete(host));
        const longestLoadMilliseconds = Math.max(0, ...models.map(model => model.loadMilliseconds));
        const oldestStart = now - LOAD_TIMEOUT_FACTOR * longestLoadMilliseconds - JOIN_GRACE_MILLISECONDS;
        [...this.groups].filter(([, { startedAt }]) => startedAt < oldestStart).forEach(([name]) =>
            this.groups.delete(name)
        );
        [...this.loads].filter(([, { expiresAt }]) => expiresAt < now).forEach(([host]) => this.loads.delete(host));
    }
}
