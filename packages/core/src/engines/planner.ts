/**
 * Planning of the groups of one fabric domain: which groups to open, close and leave, which to form from which hosts,
 * and which models idle hosts stage ahead. Pure apart from its own record of groups that are being formed.
 */
import { Formations } from "./formations.js";
import { chooseGroups, formGroups, type Forming, type GroupChoice, joinOrders, repeatJoins } from "./forming.js";
import { countWhole, groupsOf } from "./groups.js";
import { freeHosts, type JudgedGroup, judgeGroup, ordersForGroup } from "./judge.js";
import type { EngineOrder } from "./orders.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import { stageHosts } from "./staging.js";
import type { Target } from "./types.js";

/** Result of one round. */
export interface DomainPlan {
    readonly orders: readonly EngineOrder[];
    /** Absent if no groups could be formed in this round. */
    readonly choice?: GroupChoice;
}

/** Planner of one domain. */
export interface DomainPlanner {
    plan(input: DomainPlanInput): DomainPlan;
    /** Notes that a host refused an order to load weights, or did not answer it. */
    noteLoadRefused(host: string): void;
}

/** Hosts that come together are registered one by one; without this wait the first few would form a small group. */
const SETTLE_MILLISECONDS = 600;

/** Makes the planner of a domain. */
export function createDomainPlanner(): DomainPlanner {
    const formations = new Formations();
    return {
        plan: input => {
            formations.forgetOld(input.models, new Set(input.hosts.map(host => host.target.id)), input.now);
            const groups = groupsOf(input.hosts.map(host => host.target), input.models)
                .map(group => judgeGroup(group, input, formations));
            groups.forEach(({ group }) => formations.noteReady(group));
            const usableTargets = input.hosts.filter(isUsable).map(host => host.target);
            const changes = [
                ...groups.flatMap(ordersForGroup),
                ...repeatJoins(groups, usableTargets, formations),
            ];
            const { orders, choice } = useFreeHosts(input, groups, changes, formations);
            const usable = new Set(usableTargets.map(target => target.id));
            return { orders: [...changes, ...orders].filter(order => usable.has(order.host)), choice };
        },
        noteLoadRefused: host => formations.forgetStaging(host),
    };
}

/** Forms groups of the free hosts, has others load weights ahead, or warms one of them up. */
function useFreeHosts(
    input: DomainPlanInput,
    groups: readonly JudgedGroup[],
    changes: readonly EngineOrder[],
    formations: Formations,
): DomainPlan {
    if (!isSettled(input, groups)) {
        return { orders: [] };
    }
    const free = freeHostsOf(input, groups, formations);
    const groupsHere = countWhole(groups.map(({ group }) => group));
    const choice = canForm(input, changes) ? chooseGroups(input, free, groupsHere, formations) : undefined;
    const forming: Forming = choice === undefined
        ? { joins: [], loading: [], idle: free }
        : formGroups(input, choice.mix, free, formations);
    if (forming.joins.length > 0) {
        return { orders: forming.joins, choice };
    }
    const staged = stageHosts({
        input,
        forming,
        otherSpares: otherSparesOf(input, groups, free),
        groupsHere,
        mayReload: choice !== undefined,
    }, formations);
    if (staged.length > 0 || choice === undefined) {
        return { orders: staged, choice };
    }
    return { orders: warmSpare(input, groups, free, formations), choice };
}

/** Free hosts that can be given an order now and are not expected in a group that is being formed. */
function freeHostsOf(input: DomainPlanInput, groups: readonly JudgedGroup[], formations: Formations): Target[] {
    const abandoned = new Set(groups.filter(({ forming }) => !forming).map(({ group }) => group.name));
    const expected = formations.expectedMembers(abandoned, input.now);
    return freeHosts(input.hosts.filter(isUsable)).filter(target => !expected.has(target.id));
}

/** Spares that wait for the effect of an order or are being warmed up. */
function otherSparesOf(input: DomainPlanInput, groups: readonly JudgedGroup[], free: readonly Target[]): Target[] {
    const warming = groups.filter(isWarming).flatMap(({ group }) => group.members);
    return [...freeHosts(input.hosts).filter(target => !free.includes(target)), ...warming];
}

/** Returns whether a group only warms up one spare. */
function isWarming({ group, forming }: JudgedGroup): boolean {
    return forming && group.members.length === 1;
}

function isUsable(host: EngineHost): boolean {
    return !host.awaiting && !host.unreachable && !host.lost;
}

/**
 * Returns whether groups may be formed now. Hosts whose last order has not shown its effect, and members that leave a
 * group, are free a moment later and then allow another mix.
 */
function canForm(input: DomainPlanInput, changes: readonly EngineOrder[]): boolean {
    const reachable = input.hosts.filter(host => !host.unreachable);
    const waiting = freeHosts(reachable.filter(host => host.awaiting)).length > 0;
    const reachableIds = new Set(reachable.map(host => host.target.id));
    const leaving = changes.some(order => order.kind === "leave" && reachableIds.has(order.host));
    return !waiting && !leaving;
}

/** Returns whether groups may be formed: hosts are still being registered in a domain that has no group yet. */
function isSettled(input: DomainPlanInput, groups: readonly JudgedGroup[]): boolean {
    const newest = Math.max(0, ...input.hosts.map(host => host.knownSince));
    return groups.length > 0 || input.now - newest >= SETTLE_MILLISECONDS + input.registryDelayMilliseconds;
}

/**
 * Has one idle host at a time join a group of its own, which it leaves when it is ready. An engine whose last group ran
 * the model joins the next one many times sooner than one that only holds the weights.
 */
function warmSpare(
    input: DomainPlanInput,
    groups: readonly JudgedGroup[],
    idle: readonly Target[],
    formations: Formations,
): EngineOrder[] {
    const warming = groups.some(isWarming);
    const spare = idle.find(target =>
        target.registered && !target.busy && target.stagedModels[0] !== undefined
        && formations.stagingOf(target) === undefined
        && target.stagedModels[0] !== formations.lastModelOf(target)
    );
    const model = spare?.stagedModels[0];
    return warming || spare === undefined || model === undefined
        ? []
        : joinOrders(input, model, [spare], input.nextEpoch, formations);
}
