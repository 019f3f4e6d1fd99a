/** Forms groups of the free hosts of a domain: which groups, of which hosts, and which of these load weights first. */
import type { ModelProfile } from "../routes/types.js";
import type { AssessedGroup } from "./assessment.js";
import { chooseGroupCounts, type FreeHosts, type ModelDemand } from "./groupcounts.js";
import { groupName } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import type { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput } from "./planinput.js";
import type { Target } from "./types.js";

/** Groups chosen for the free hosts of a domain, with what the choice was made from. */
export interface GroupChoice {
    readonly demands: readonly ModelDemand[];
    readonly free: FreeHosts;
    /** New groups by model. */
    readonly newGroups: ReadonlyMap<string, number>;
}

/** Load of the weights of a model onto a host. */
export interface WeightLoad {
    readonly target: Target;
    readonly model: ModelProfile;
}

/** What becomes of the free hosts. */
export interface FreeHostAllocation {
    readonly joins: readonly EngineOrder[];
    /** Members of chosen groups that load the weights before the group is formed. */
    readonly loading: readonly WeightLoad[];
    /** Hosts that are in none of the chosen groups. */
    readonly idle: readonly Target[];
}

type JoinOrder = Extract<EngineOrder, { kind: "join"; }>;

/** Order in which hosts are taken for a group, by what they hold. Lower ones first. */
const HOLDER_RANKS = { warm: 0, holding: 1, busy: 2, loading: 3, empty: 4, otherWeights: 5 } as const;
/** Hosts whose entry lapsed are taken before hosts that must load the weights. */
const UNREGISTERED_RANK = 1.5;

/** Chooses the groups to form of free hosts, of the models that need them most. */
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
        holders: targets.filter(target => pending.modelsOf(target).includes(profile.name)).length,
    }));
    const free = {
        count: targets.length,
        empty: targets.filter(target => pending.modelsOf(target).length === 0).length,
        loadsAllowed: Math.max(0, input.loadsAllowedSoon),
        loadsAreQuick: input.loadsAreQuick,
    };
    return { demands, free, newGroups: chooseGroupCounts(demands, free) };
}

/**
 * Gives the orders to form the chosen groups. A group whose members all hold the weights joins at once. While loads take
 * long, the other members of a group load first: its hosts stay free for a better choice, and a host with the weights
 * that comes in the meantime makes the group whole.
 */
export function formGroups(
    input: DomainPlanInput,
    mix: ReadonlyMap<string, number>,
    free: readonly Target[],
    pending: PendingOperations,
): FreeHostAllocation {
    const wanted = [...input.models].sort((left, right) => right.size - left.size)
        .flatMap(profile => Array.from({ length: mix.get(profile.name) ?? 0 }, () => profile));
    return wanted.reduce<FreeHostAllocation>((forming, profile, index) => {
        const members = headFirst(preferHolders(forming.idle, profile.name, pending), profile.size);
        if (members.length < profile.size) {
            return forming;
        }
        const idle = forming.idle.filter(target => !members.includes(target));
        const cold = members.filter(member => !pending.holds(member, profile.name));
        if (cold.length > 0 && !(input.loadsAreQuick && cold.length <= input.loadsAllowed)) {
            const loading = cold.map(target => ({ target, model: profile }));
            return { ...forming, loading: [...forming.loading, ...loading], idle };
        }
        const joins = joinOrders(input, profile.name, members, input.nextEpoch + index, pending);
        return { ...forming, joins: [...forming.joins, ...joins], idle };
    }, { joins: [], loading: [], idle: free });
}

/** Orders to all members of a new group, which is noted as being formed. */
export function joinOrders(
    { domain, fencingToken, now }: DomainPlanInput,
    model: string,
    targets: readonly Target[],
    epoch: number,
    pending: PendingOperations,
): EngineOrder[] {
    const group = groupName(domain, model, fencingToken, epoch);
    const members = targets.map(target => target.id);
    pending.note(group, { model, members, startedAt: now });
    return members.map(host => joinOrder(host, { group, epoch, model, members }));
}

function joinOrder(host: string, fields: Pick<JoinOrder, "group" | "epoch" | "model" | "members">): JoinOrder {
    return { kind: "join", host, ...fields };
}

/** Orders to members that are known not to have joined a group that is being formed; an order may be refused or lost. */
export function repeatJoins(
    groups: readonly AssessedGroup[],
    usable: readonly Target[],
    pending: PendingOperations,
): EngineOrder[] {
    const free = new Set(usable.filter(target => target.membership === undefined).map(target => target.id));
    return groups.filter(({ forming }) => forming).flatMap(({ group }) => {
        const formation = pending.of(group.name);
        if (formation === undefined) {
            return [];
        }
        const { model, members } = formation;
        return members.filter(host => free.has(host))
            .map(host => joinOrder(host, { group: group.name, epoch: group.epoch, model, members }));
    });
}

/** Takes so many hosts with a registered one first, as requests go to the head; none if no host is registered. */
function headFirst(hosts: readonly Target[], size: number): Target[] {
    const head = hosts.find(host => host.registered);
    return head === undefined ? [] : [head, ...hosts.filter(host => host !== head)].slice(0, size);
}

/** Sorts hosts so that those come first whose group would serve soonest. */
function preferHolders(hosts: readonly Target[], model: string, pending: PendingOperations): Target[] {
    const rank = (target: Target): number =>
        HOLDER_RANKS[holderKind(target, model, pending)] + (target.registered ? 0 : UNREGISTERED_RANK);
    return [...hosts].sort((left, right) => rank(left) - rank(right));
}

function holderKind(target: Target, model: string, pending: PendingOperations): keyof typeof HOLDER_RANKS {
    const models = pending.modelsOf(target);
    if (!models.includes(model)) {
        return models.length === 0 ? "empty" : "otherWeights";
    }
    if (pending.stagingOf(target) !== undefined) {
        return "loading";
    }
    if (pending.lastModelOf(target) === model) {
        return "warm";
    }
    return target.busy ? "busy" : "holding";
}
