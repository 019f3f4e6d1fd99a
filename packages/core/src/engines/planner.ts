/**
 * Plans the groups of one fabric domain: which groups to open, close and dissolve, which groups to form from which
 * hosts, and which weights spare hosts load in advance. The only state is the record of pending operations and
 * of the groups seen.
 */
import { type AssessedGroup, assessGroup, freeHosts, looseHosts, ordersForGroup } from "./assessment.js";
import {
    chooseGroups,
    formGroups,
    type FreeHostAllocation,
    type GroupChoice,
    joinOrders,
    loadsForReassignment,
    repeatJoins,
} from "./forming.js";
import { collectGroups, countCompleteGroups, type EngineGroup } from "./groups.js";
import type { EngineOrder } from "./orders.js";
import { PendingOperations } from "./pendingoperations.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import { type RequiredStatement, SeenGroups } from "./seengroups.js";
import { stageHosts } from "./staging.js";
import { findReassignedModel } from "./starvation.js";
import type { Target } from "./types.js";

/** Result of one planning round. */
export interface DomainPlan {
    readonly orders: readonly EngineOrder[];
    /** Absent if no groups could be chosen in this round. */
    readonly choice?: GroupChoice;
    /** Statements of hosts without which groups that look incomplete are not ended. */
    readonly requiredStatements: readonly RequiredStatement[];
}

/** Planner of one domain. */
export interface DomainPlanner {
    plan(input: DomainPlanInput): DomainPlan;
    /** Records that a host refused an order to load weights, or did not answer it. */
    recordRefusedLoad(host: string): void;
    /** Records that a host refused the epoch of a new group, which is then given up. */
    recordRefusedJoin(group: string): void;
}

/** Hosts that start together register one by one; without this delay the first few would form a small group. */
const REGISTRATION_SETTLE_MILLISECONDS = 600;

/** Creates the planner of a domain. */
export function createDomainPlanner(): DomainPlanner {
    const pending = new PendingOperations();
    const seen = new SeenGroups();
    return {
        plan: given => {
            const input = withNeededReleases(given);
            pending.removeExpired(input.models, new Set(input.hosts.map(host => host.target.id)), input.now);
            const collected = collectGroups(input.hosts.map(host => host.target), input.models);
            const groups = assessGroups(collected, input, pending, seen);
            groups.forEach(({ group }) => pending.recordReadyMembers(group));
            const usableTargets = input.hosts.filter(isUsable).map(host => host.target);
            const changes = [
                ...groups.flatMap(ordersForGroup),
                ...repeatJoins(groups, usableTargets, pending),
            ];
            const { orders, choice } = planFreeHosts(input, groups, changes, pending);
            const usable = new Set(usableTargets.map(target => target.id));
            return {
                orders: [...changes, ...orders].filter(order => usable.has(order.host)),
                choice,
                requiredStatements: groups.filter(({ forming }) => !forming)
                    .flatMap(({ requiredStatements }) => requiredStatements),
            };
        },
        recordRefusedLoad: host => pending.removeLoad(host),
        recordRefusedJoin: group => pending.giveUpGroup(group),
    };
}

function assessGroups(
    collected: readonly EngineGroup[],
    input: DomainPlanInput,
    pending: PendingOperations,
    seen: SeenGroups,
): AssessedGroup[] {
    seen.update(collected, input.now);
    const hosts = new Map(input.hosts.map(host => [host.target.id, host]));
    const loose = looseHosts(collected, input.hosts);
    return collected.map(group =>
        assessGroup(group, seen.requiredStatements(group, hosts, loose, input.now), hosts, input, pending)
    );
}

/** Returns the input without releases if the free hosts suffice, also those whose registry entries lapsed. */
function withNeededReleases(input: DomainPlanInput): DomainPlanInput {
    const free = freeHosts(input.hosts.filter(host => !host.unreachable));
    return input.reassignment === undefined || free.length < hostsForReassignment(input)
        ? input
        : { ...input, reassignment: { ...input.reassignment, releases: [] } };
}

/** Plans the free hosts: forms groups, or else loads weights onto spares, or else warms up one spare. */
function planFreeHosts(
    input: DomainPlanInput,
    groups: readonly AssessedGroup[],
    changes: readonly EngineOrder[],
    pending: PendingOperations,
): Omit<DomainPlan, "requiredStatements"> {
    if (!isSettled(input, groups)) {
        return { orders: [] };
    }
    const free = freeHostsOf(input, groups, pending);
    const groupsInDomain = countCompleteGroups(groups.map(({ group }) => group));
    const isAwaitingHosts = free.length < hostsForReassignment(input);
    const choice = !isAwaitingHosts && canFormGroups(input, changes)
        ? chooseGroups(input, free, groupsInDomain, pending)
        : undefined;
    const allocation: FreeHostAllocation = choice === undefined
        ? allocateWithoutChoice(input, free, isAwaitingHosts, pending)
        : formGroups(input, choice.newGroups, free, pending);
    if (allocation.joins.length > 0) {
        return { orders: allocation.joins, choice };
    }
    const staged = stageHosts({
        input,
        allocation,
        unavailableSpares: unavailableSparesOf(input, groups, free),
        groupsInDomain,
        mayDropWeights: choice !== undefined,
    }, pending);
    if (staged.length > 0 || choice === undefined) {
        return { orders: staged, choice };
    }
    return { orders: warmSpare(input, groups, free, pending), choice };
}

/** Returns the number of hosts that the domain needs for a model without a group, or 0. */
function hostsForReassignment({ models, reassignment }: DomainPlanInput): number {
    return findReassignedModel(models, reassignment)?.size ?? 0;
}

/** Returns how hosts are used while no groups are formed: they may load weights for a model that awaits more hosts. */
function allocateWithoutChoice(
    input: DomainPlanInput,
    free: readonly Target[],
    isAwaitingHosts: boolean,
    pending: PendingOperations,
): FreeHostAllocation {
    const loading = isAwaitingHosts ? loadsForReassignment(input, free, pending) : [];
    const loadingIds = new Set(loading.map(({ target }) => target.id));
    return { joins: [], loading, idle: free.filter(({ id }) => !loadingIds.has(id)) };
}

/** Returns the free hosts that can get an order now and are not expected in a group that is being formed. */
function freeHostsOf(input: DomainPlanInput, groups: readonly AssessedGroup[], pending: PendingOperations): Target[] {
    const abandoned = new Set(groups.filter(({ forming }) => !forming).map(({ group }) => group.name));
    const expected = pending.expectedMembers(abandoned, input.now);
    return freeHosts(input.hosts.filter(isUsable)).filter(target => !expected.has(target.id));
}

/** Returns the spares that cannot get an order now or are being warmed up. */
function unavailableSparesOf(
    input: DomainPlanInput,
    groups: readonly AssessedGroup[],
    free: readonly Target[],
): Target[] {
    const warming = groups.filter(isWarming).flatMap(({ group }) => group.members);
    return [...freeHosts(input.hosts).filter(target => !free.includes(target)), ...warming];
}

/** Returns whether a group exists only to warm up one spare. */
function isWarming({ group, forming }: AssessedGroup): boolean {
    return forming && group.members.length === 1;
}

function isUsable(host: EngineHost): boolean {
    return !host.orderPending && !host.unreachable && !host.lost;
}

/**
 * Returns whether groups may be formed now. Free hosts with a pending order, and members that leave a group, become
 * available shortly and may then allow a better choice of groups.
 */
function canFormGroups(input: DomainPlanInput, changes: readonly EngineOrder[]): boolean {
    const reachable = input.hosts.filter(host => !host.unreachable);
    const waiting = freeHosts(reachable.filter(host => host.orderPending)).length > 0;
    const reachableIds = new Set(reachable.map(host => host.target.id));
    const leaving = changes.some(order => order.kind === "leave" && reachableIds.has(order.host));
    return !waiting && !leaving;
}

/** Returns whether the domain has a group already, or no more hosts are expected to register. */
function isSettled(input: DomainPlanInput, groups: readonly AssessedGroup[]): boolean {
    const newest = Math.max(0, ...input.hosts.map(host => host.knownSince));
    return groups.length > 0
        || input.now - newest >= REGISTRATION_SETTLE_MILLISECONDS + input.registryDelayMilliseconds;
}

/**
 * Warms up one idle host at a time: it joins a group of its own and leaves it when it is ready. An engine whose last
 * group ran the model joins the next one many times faster than one that only holds the weights.
 */
function warmSpare(
    input: DomainPlanInput,
    groups: readonly AssessedGroup[],
    idle: readonly Target[],
    pending: PendingOperations,
): EngineOrder[] {
    const warming = groups.some(isWarming);
    const spare = idle.find(target =>
        target.registered && !target.busy && target.stagedModels[0] !== undefined
        && pending.loadingModelOf(target) === undefined
        && target.stagedModels[0] !== pending.lastModelOf(target)
    );
    const model = spare?.stagedModels[0];
    return warming || spare === undefined || model === undefined
        ? []
        : joinOrders(input, model, [spare], input.nextEpoch, pending);
}
