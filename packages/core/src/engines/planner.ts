/**
 * Planning of the groups of one fabric domain: which groups to open, close and leave, which to form from which hosts,
 * and which models idle hosts stage ahead. Pure apart from its own record of groups that are being formed.
 */
import type { ModelProfile } from "../routes/types.js";
import { Formations } from "./formations.js";
import { groupName, groupsOf } from "./groups.js";
import { freeHosts, type JudgedGroup, judgeGroup, ordersForGroup } from "./judge.js";
import { chooseMix, type FreeHosts, type ModelDemand } from "./mix.js";
import type { EngineOrder } from "./orders.js";
import type { DomainPlanInput, EngineHost } from "./planinput.js";
import type { Target } from "./types.js";

/** Groups chosen for the free hosts of a domain, with what the choice was made from. */
export interface GroupChoice {
    readonly demands: readonly ModelDemand[];
    readonly free: FreeHosts;
    /** New groups by model. */
    readonly mix: ReadonlyMap<string, number>;
}

/** Result of one round. */
export interface DomainPlan {
    readonly orders: readonly EngineOrder[];
    /** Absent if no groups could be formed in this round. */
    readonly choice?: GroupChoice;
}

/** Planner of one domain. */
export interface DomainPlanner {
    plan(input: DomainPlanInput): DomainPlan;
}

/** Hosts whose entry lapsed are taken before hosts that must load the weights. */
const UNREGISTERED_SCORE = 1.5;

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
            const changes = groups.flatMap(ordersForGroup);
            const choice = canForm(input, groups, changes) ? chooseGroups(input, free(input, groups)) : undefined;
            const formed = choice === undefined
                ? []
                : formGroups(input, choice.mix, free(input, groups), formations);
            const staged = formed.length === 0 && isSettled(input, groups)
                ? stageIdleHosts(input, free(input, groups), formations)
                : [];
            formations.noteStaging(staged, input.models, input.now);
            const warmed = formed.length === 0 && staged.length === 0 && canForm(input, groups, changes)
                ? warmSpare(input, groups, free(input, groups), formations)
                : [];
            const usable = new Set(input.hosts.filter(isUsable).map(host => host.target.id));
            const orders = [...changes, ...formed, ...staged, ...warmed].filter(order => usable.has(order.host));
            return { orders, choice };
        },
    };

    /** Free hosts that can be given an order now and are not expected in a group that is being formed. */
    function free(input: DomainPlanInput, groups: readonly JudgedGroup[]): Target[] {
        const abandoned = new Set(groups.filter(({ forming }) => !forming).map(({ group }) => group.name));
        const expected = formations.expectedMembers(abandoned, input.now);
        return freeHosts(input.hosts.filter(isUsable)).filter(target => !expected.has(target.id));
    }
}

function isUsable(host: EngineHost): boolean {
    return !host.awaiting && !host.unreachable && !host.lost;
}

/**
 * Returns whether groups may be formed now. Hosts whose last order has not shown its effect, and members that leave a
 * group, are free a moment later and then allow another mix.
 */
function canForm(
    input: DomainPlanInput,
    groups: readonly JudgedGroup[],
    changes: readonly EngineOrder[],
): boolean {
    const reachable = input.hosts.filter(host => !host.unreachable);
    const waiting = freeHosts(reachable.filter(host => host.awaiting)).length > 0;
    const reachableIds = new Set(reachable.map(host => host.target.id));
    const leaving = changes.some(order => order.kind === "leave" && reachableIds.has(order.host));
    return isSettled(input, groups) && !waiting && !leaving;
}

/** Returns whether groups may be formed: hosts are still being registered in a domain that has no group yet. */
function isSettled(input: DomainPlanInput, groups: readonly JudgedGroup[]): boolean {
    const newest = Math.max(0, ...input.hosts.map(host => host.knownSince));
    return groups.length > 0 || input.now - newest >= SETTLE_MILLISECONDS;
}

/** Chooses the groups to form of free hosts, of the models that need them most. */
function chooseGroups(input: DomainPlanInput, targets: readonly Target[]): GroupChoice {
    const demands = input.models.map(profile => ({
        profile,
        demand: input.demandByModel.get(profile.name) ?? profile.share / profile.size,
        groups: input.groupsByModel.get(profile.name) ?? 0,
        holders: targets.filter(({ stagedModels }) => stagedModels.includes(profile.name)).length,
    }));
    const free = {
        count: targets.length,
        empty: targets.filter(({ stagedModels }) => stagedModels.length === 0).length,
        loadsAllowed: Math.max(0, input.loadsAllowed),
    };
    return { demands, free, mix: chooseMix(demands, free) };
}

/** Forms the chosen groups of free hosts. */
function formGroups(
    input: DomainPlanInput,
    mix: ReadonlyMap<string, number>,
    free: readonly Target[],
    formations: Formations,
): EngineOrder[] {
    const wanted = [...input.models].sort((left, right) => right.size - left.size)
        .flatMap(profile => Array.from({ length: mix.get(profile.name) ?? 0 }, () => profile));
    let rest = free;
    let loads = Math.max(0, input.loadsAllowed);
    return wanted.flatMap((profile, index) => {
        const members = headFirst(preferStaged(rest, profile.name, formations), profile.size);
        if (members.length < profile.size) {
            return [];
        }
        const cold = members.filter(member => !member.stagedModels.includes(profile.name)).length;
        if (cold > loads) {
            return [];
        }
        loads -= cold;
        const epoch = input.nextEpoch + index;
        const group = groupName(input.domain, profile.name, input.fencingToken, epoch);
        const ids = members.map(member => member.id);
        rest = rest.filter(target => !ids.includes(target.id));
        formations.note(group, { model: profile.name, members: ids, startedAt: input.now });
        return ids.map(host => ({ kind: "join", host, group, epoch, model: profile.name, members: ids }) as const);
    });
}

/** Takes so many hosts with a registered one first, as requests go to the head; none if no host is registered. */
function headFirst(hosts: readonly Target[], size: number): Target[] {
    const head = hosts.find(host => host.registered);
    return head === undefined ? [] : [head, ...hosts.filter(host => host !== head)].slice(0, size);
}

/** Sorts hosts: those whose last group ran the model, then those that hold its weights, then those that hold none. */
function preferStaged(hosts: readonly Target[], model: string, formations: Formations): Target[] {
    const score = (target: Target): number => {
        if (formations.lastModelOf(target) === model) {
            return 0;
        }
        if (target.stagedModels.includes(model)) {
            return target.busy ? 2 : 1;
        }
        return target.stagedModels.length === 0 ? 3 : 4;
    };
    const rank = (target: Target): number => score(target) + (target.registered ? 0 : UNREGISTERED_SCORE);
    return [...hosts].sort((left, right) => rank(left) - rank(right));
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
    const warming = groups.some(({ group, forming }) => forming && group.members.length === 1);
    const spare = idle.find(target =>
        target.registered && !target.busy && target.stagedModels[0] !== undefined
        && target.stagedModels[0] !== formations.lastModelOf(target)
    );
    const model = spare?.stagedModels[0];
    if (warming || spare === undefined || model === undefined) {
        return [];
    }
    const epoch = input.nextEpoch;
    const group = groupName(input.domain, model, input.fencingToken, epoch);
    const members = [spare.id];
    formations.note(group, { model, members, startedAt: input.now });
    return [{ kind: "join", host: spare.id, group, epoch, model, members }];
}

/** Has idle hosts without weights stage the model whose groups are most likely to need them. */
function stageIdleHosts(
    input: DomainPlanInput,
    idle: readonly Target[],
    formations: Formations,
): EngineOrder[] {
    const holds = (target: Target, model: string): boolean =>
        target.stagedModels.includes(model) || formations.stagingOf(target.id) === model;
    const spares = new Map(
        input.models.map(model => [model.name, idle.filter(target => holds(target, model.name)).length]),
    );
    const empty = idle.filter(target =>
        target.stagedModels.length === 0 && !target.busy && formations.stagingOf(target.id) === undefined
    );
    return empty.slice(0, Math.max(0, input.loadsAllowed)).flatMap(target => {
        const held = (model: ModelProfile): number => spares.get(model.name) ?? 0;
        const need = (model: ModelProfile): number => model.size / (held(model) + 1);
        const model = [...input.models]
            .sort((left, right) => need(right) - need(left) || held(left) - held(right))[0];
        if (model === undefined) {
            return [];
        }
        spares.set(model.name, (spares.get(model.name) ?? 0) + 1);
        return [{ kind: "stage", host: target.id, model: model.name } as const];
    });
}
