/** Forms groups from the free hosts of a domain: chooses models, members, and the members that load weights first. */
import type { ModelProfile } from "../routes/types.js";
import type { AssessedGroup } from "./assessment.js";
import { chooseGroupCounts, type FreeHosts, type ModelDemand } from "./groupcounts.js";
import { groupName } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput } from "./planinput.js";
import { findReassignedModel } from "./starvation.js";
import type { Target } from "./types.js";

/** Groups chosen for the free hosts of a domain, with the demands and hosts on which the choice is based. */
export interface GroupChoice {
    readonly demands: readonly ModelDemand[];
    readonly free: FreeHosts;
    /** Number of new groups by model. */
    readonly newGroups: ReadonlyMap<string, number>;
}

/** Load of the weights of a model onto a host. */
export interface WeightLoad {
    readonly target: Target;
    readonly model: ModelProfile;
}

/** How the free hosts are used. */
export interface FreeHostAllocation {
    /** Orders to join a new group. */
    readonly joins: readonly EngineOrder[];
    /** Members of chosen groups that load the weights before the group is formed. */
    readonly loading: readonly WeightLoad[];
    /** Hosts that are in none of the chosen groups; these are spares. */
    readonly idle: readonly Target[];
}

type JoinOrder = Extract<EngineOrder, { kind: "join"; }>;

/** Ranks of hosts for a group by the weights that they hold; hosts with lower ranks are taken first. */
const HOST_RANKS = { warm: 0, holding: 1, busy: 2, loading: 3, empty: 5, otherWeights: 6 } as const;
/** Added to the rank of a host whose registry entry lapsed: it is taken before hosts that must load the weights. */
const UNREGISTERED_PENALTY = 1.5;

/** Chooses how many groups of each model to form from the free hosts. */
export function chooseGroups(
    input: DomainPlanInput,
    targets: readonly Target[],
    groupsInDomain: ReadonlyMap<string, number>,
    pending: PendingOperations,
): GroupChoice {
    const demands = input.models.map(profile => ({
        profile,
        demand: input.demandByModel.get(profile.name) ?? profile.share / profile.size,
        groups: input.groupsByModel.get(profile.name) ?? 0,
        groupsInDomain: groupsInDomain.get(profile.name) ?? 0,
        holders: targets.filter(target => pending.expectedModelsOf(target).includes(profile.name)).length,
    }));
    const free = {
        count: targets.length,
        empty: targets.filter(target => pending.expectedModelsOf(target).length === 0).length,
        loadsAllowed: Math.max(0, input.loadsAllowedSoon),
        loadsAreQuick: input.loadsAreQuick,
    };
    return { demands, free, newGroups: withReassignment(chooseGroupCounts(demands, free), input, targets.length) };
}

/**
 * Returns the chosen numbers of groups, or one group of the model that this domain is to form if none of it was chosen,
 * for example because its loads exceed the rate: they then start one after the other.
 */
function withReassignment(
    newGroups: ReadonlyMap<string, number>,
    { models, reassignment }: DomainPlanInput,
    freeHosts: number,
): ReadonlyMap<string, number> {
    const model = findReassignedModel(models, reassignment);
    const isMissing = model !== undefined && model.size <= freeHosts && (newGroups.get(model.name) ?? 0) === 0;
    return isMissing ? new Map(models.map(({ name }) => [name, name === model.name ? 1 : 0])) : newGroups;
}

/** Returns the loads of free hosts for a model without a group for which more hosts become free. */
export function loadsForReassignment(
    { reassignment, models }: DomainPlanInput,
    free: readonly Target[],
    pending: PendingOperations,
): WeightLoad[] {
    const model = findReassignedModel(models, reassignment);
    return model === undefined || reassignment?.due !== true
        ? []
        : free.filter(target => !pending.holdsWeights(target, model.name)).map(target => ({ target, model }));
}

/**
 * Returns the orders that form the chosen groups, larger models first. A group whose members all hold the weights joins
 * at once. Unless loads are quick, the other members load first: the hosts stay free for a better choice, and a host
 * that holds the weights and becomes free in the meantime can complete the group.
 */
export function formGroups(
    input: DomainPlanInput,
    newGroups: ReadonlyMap<string, number>,
    free: readonly Target[],
    pending: PendingOperations,
): FreeHostAllocation {
    const wanted = [...input.models].sort((left, right) => right.size - left.size)
        .flatMap(profile => Array.from({ length: newGroups.get(profile.name) ?? 0 }, () => profile));
    return wanted.reduce<FreeHostAllocation>((allocation, profile, index) => {
        const members = takeHeadFirst(sortByRank(allocation.idle, profile.name, pending), profile.size);
        if (members.length < profile.size) {
            return allocation;
        }
        const idle = allocation.idle.filter(target => !members.includes(target));
        const cold = members.filter(member => !pending.holdsWeights(member, profile.name));
        if (cold.length > 0 && !(input.loadsAreQuick && cold.length <= input.loadsAllowed)) {
            const loading = cold.map(target => ({ target, model: profile }));
            return { ...allocation, loading: [...allocation.loading, ...loading], idle };
        }
        const joins = joinOrders(input, profile.name, members, input.nextEpoch + index, pending);
        return { ...allocation, joins: [...allocation.joins, ...joins], idle };
    }, { joins: [], loading: [], idle: free });
}

/** Returns the join orders for all members of a new group and records the group as pending. */
export function joinOrders(
    { domain, fencingToken, now }: DomainPlanInput,
    model: string,
    targets: readonly Target[],
    epoch: number,
    pending: PendingOperations,
): EngineOrder[] {
    const group = groupName({ domain, model, fencingToken, epoch, size: targets.length });
    const members = targets.map(target => target.id);
    pending.recordGroup(group, { model, members, startedAt: now });
    return members.map(host => joinOrder(host, { group, epoch, model, members }));
}

function joinOrder(host: string, fields: Pick<JoinOrder, "group" | "epoch" | "model" | "members">): JoinOrder {
    return { kind: "join", host, ...fields };
}

/** Repeats join orders for members that have not joined a group being formed; orders may be refused or lost. */
export function repeatJoins(
    groups: readonly AssessedGroup[],
    usable: readonly Target[],
    pending: PendingOperations,
): EngineOrder[] {
    const free = new Set(usable.filter(target => target.membership === undefined).map(target => target.id));
    return groups.filter(({ forming }) => forming).flatMap(({ group }) => {
        const pendingGroup = pending.groupByName(group.name);
        if (pendingGroup === undefined) {
            return [];
        }
        const { model, members } = pendingGroup;
        return members.filter(host => free.has(host))
            .map(host => joinOrder(host, { group: group.name, epoch: group.epoch, model, members }));
    });
}

/** Takes `size` hosts, a registered one first, because requests go to the head. Empty if no host is registered. */
function takeHeadFirst(hosts: readonly Target[], size: number): Target[] {
    const head = hosts.find(host => host.registered);
    return head === undefined ? [] : [head, ...hosts.filter(host => host !== head)].slice(0, size);
}

/** Sorts hosts by how soon a group with them would serve. */
function sortByRank(hosts: readonly Target[], model: string, pending: PendingOperations): Target[] {
    const rank = (target: Target): number =>
        HOST_RANKS[hostKind(target, model, pending)] + (target.registered ? 0 : UNREGISTERED_PENALTY);
    return [...hosts].sort((left, right) => rank(left) - rank(right));
}

function hostKind(target: Target, model: string, pending: PendingOperations): keyof typeof HOST_RANKS {
    const models = pending.expectedModelsOf(target);
    if (!models.includes(model)) {
        return models.length === 0 ? "empty" : "otherWeights";
    }
    if (pending.loadingModelOf(target) !== undefined) {
        return "loading";
    }
    if (pending.lastModelOf(target) === model) {
        return "warm";
    }
    return target.busy ? "busy" : "holding";
}
