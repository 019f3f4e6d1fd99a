/** Chooses which groups give up their hosts for a model that callers request and that has no group in any domain. */
import type { ModelProfile } from "../routes/types.js";
import { loadCost } from "./groupcounts.js";
import { collectGroups, type EngineGroup, isCurrentGroup } from "./groups.js";
import type { Target } from "./types.js";

/** Fleet of one service in all domains. */
export interface Fleet {
    readonly models: readonly ModelProfile[];
    readonly targets: readonly Target[];
    /** Models that callers requested recently. */
    readonly requestedModels: ReadonlySet<string>;
    /** Work requested of each model, relative to the others. */
    readonly demandByModel: ReadonlyMap<string, number>;
    /** Groups of each model that serve or are being formed in all domains. */
    readonly groupsByModel: ReadonlyMap<string, number>;
}

/** Way for one domain to form a group of a model that has none. */
export interface Reassignment {
    readonly model: string;
    readonly domain: string;
    /** Names of the complete groups of other models that are taken apart; empty if the free hosts suffice. */
    readonly releases: readonly string[];
    /** Hosts of the domain that are in no complete group. */
    readonly freeHosts: number;
    /** Members of the new group that must load the weights. */
    readonly loads: number;
    /** Cost of the load of the other models' groups that remain. */
    readonly cost: number;
}

/** Groups of one domain as far as they matter to a reassignment. */
interface DomainFleet {
    readonly domain: string;
    readonly free: readonly Target[];
    readonly groups: readonly EngineGroup[];
}

/** Whether the head's state shows that the group serves or is about to. Another group can replace it only then. */
const KEPT_STATES: ReadonlySet<string | undefined> = new Set(["open", "joining"]);
/** States of the heads of groups that can be taken apart in order. */
const RELEASABLE_STATES: ReadonlySet<string | undefined> = new Set(["open", "closing", "ready"]);

/** Returns the models that callers request and that have no group in any domain, the most requested one first. */
export function starvedModels({ models, requestedModels, demandByModel, groupsByModel }: Fleet): ModelProfile[] {
    const demandOf = ({ name }: ModelProfile): number => demandByModel.get(name) ?? 0;
    return models.filter(({ name }) => requestedModels.has(name) && (groupsByModel.get(name) ?? 0) === 0)
        .sort((left, right) => demandOf(right) - demandOf(left));
}

/**
 * Returns the reassignments for one starved model, one for each domain that can form a group of it, the best first. All
 * daemons see about the same fleet, so that they agree on the first domain. The last group of a requested model is never
 * released.
 */
export function rankReassignments(fleet: Fleet): readonly Reassignment[] {
    const domains = collectDomains(fleet);
    const options = starvedModels(fleet).map(model =>
        domains.flatMap(domain => planReassignment(model, domain, domains, fleet) ?? [])
    );
    return (options.find(reassignments => reassignments.length > 0) ?? []).sort((left, right) =>
        left.cost - right.cost || left.loads - right.loads || (left.domain < right.domain ? -1 : 1)
    );
}

function collectDomains({ targets, models }: Fleet): DomainFleet[] {
    const names = [...new Set(targets.flatMap(({ domain }) => domain ?? []))];
    return names.map(domain => {
        const hosts = targets.filter(target => target.domain === domain);
        const groups = collectGroups(hosts, models).filter(group => isCurrentGroup(group) && !isBroken(group));
        const taken = new Set(groups.flatMap(({ members }) => members.map(({ id }) => id)));
        return { domain, groups, free: hosts.filter(host => isUsable(host) && !taken.has(host.id)) };
    });
}

function isUsable({ registered, draining }: Target): boolean {
    return registered && !draining;
}

function isBroken({ head }: EngineGroup): boolean {
    return head?.membership?.state === "broken";
}

function planReassignment(
    model: ModelProfile,
    { domain, free, groups }: DomainFleet,
    domains: readonly DomainFleet[],
    fleet: Fleet,
): Reassignment | undefined {
    const counts = new RemainingGroups(domains.flatMap(other => other.groups), fleet);
    const candidates = groups.filter(group =>
        group.model !== model.name && RELEASABLE_STATES.has(group.head?.membership?.state)
        && group.members.every(isUsable)
    );
    const releases = chooseReleases(model.size - free.length, candidates, counts);
    if (releases === undefined) {
        return undefined;
    }
    const hosts = [...free, ...releases.flatMap(({ members }) => members)];
    const holders = hosts.filter(({ stagedModels }) => stagedModels.includes(model.name)).length;
    return {
        model: model.name,
        domain,
        releases: releases.map(({ name }) => name).sort(),
        freeHosts: free.length,
        loads: Math.max(0, model.size - holders),
        cost: counts.without(releases).cost(),
    };
}

/** Returns the groups to release so that enough hosts become free, or `undefined` if there are not enough. */
function chooseReleases(
    missingHosts: number,
    candidates: readonly EngineGroup[],
    counts: RemainingGroups,
): EngineGroup[] | undefined {
    if (missingHosts <= 0) {
        return [];
    }
    const [cheapest] = candidates.filter(group => counts.mayRelease(group)).sort((left, right) =>
        counts.without([left]).cost() - counts.without([right]).cost() || (left.name < right.name ? -1 : 1)
    );
    if (cheapest === undefined) {
        return undefined;
    }
    const others = chooseReleases(
        missingHosts - cheapest.members.length,
        candidates.filter(group => group !== cheapest),
        counts.without([cheapest]),
    );
    const isNeeded = others !== undefined && countMembers(others) < missingHosts;
    return isNeeded ? [cheapest, ...others] : others;
}

function countMembers(groups: readonly EngineGroup[]): number {
    return groups.reduce((sum, { members }) => sum + members.length, 0);
}

/** Groups that remain in all domains when some are released. Groups that close already are not counted. */
class RemainingGroups {
    private readonly kept: readonly EngineGroup[];

    constructor(groups: readonly EngineGroup[], private readonly fleet: Fleet) {
        this.kept = groups.filter(({ head }) => KEPT_STATES.has(head?.membership?.state));
    }

    without(released: readonly EngineGroup[]): RemainingGroups {
        return new RemainingGroups(this.kept.filter(group => !released.includes(group)), this.fleet);
    }

    /** Returns whether callers do not request the group's model, or another group of it remains. */
    mayRelease(group: EngineGroup): boolean {
        const remains = this.kept.some(other => other !== group && other.model === group.model);
        return remains || group.model === undefined || !this.fleet.requestedModels.has(group.model);
    }

    /** Cost of the load of the groups that remain, for the models that callers request. */
    cost(): number {
        const { models, requestedModels, demandByModel } = this.fleet;
        const total = [...demandByModel.values()].reduce((sum, demand) => sum + demand, 0);
        return models.filter(({ name }) => requestedModels.has(name)).reduce((sum, { name }) => {
            const groups = this.kept.filter(({ model }) => model === name).length;
            const share = (demandByModel.get(name) ?? 0) / (total || 1);
            return groups === 0 ? sum : sum + loadCost(share, groups);
        }, 0);
    }
}
