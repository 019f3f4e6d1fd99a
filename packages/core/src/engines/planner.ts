/**
 * Planning of the groups of one fabric domain: which groups to open, close and leave, which to form from which hosts,
 * and which models idle hosts stage ahead. Pure apart from its own record of groups that are being formed.
 */
import type { ModelProfile } from "../routes/types.js";
import { type EngineGroup, groupName, groupsOf, isReadyToOpen } from "./groups.js";
import { chooseMix } from "./mix.js";
import type { EngineOrder } from "./orders.js";
import type { Target } from "./types.js";

/** What the planner knows of one host. */
export interface EngineHost {
    readonly target: Target;
    /** Whether an order was sent whose effect has not been seen yet. */
    readonly awaiting: boolean;
    /** Whether the host does not answer this daemon. It gets no orders, but may still serve. */
    readonly unreachable: boolean;
    /** Whether the host is taken as gone although it is still registered. */
    readonly lost: boolean;
    /** When the host was first known, in monotonic milliseconds. */
    readonly knownSince: number;
}

/** Input of one round of planning. */
export interface DomainPlanInput {
    readonly domain: string;
    readonly hosts: readonly EngineHost[];
    readonly models: readonly ModelProfile[];
    /** Groups of each model that serve or are being formed in all domains. */
    readonly groupsByModel: ReadonlyMap<string, number>;
    /** Work of each model relative to the others, for example its share of busy slots. */
    readonly demandByModel: ReadonlyMap<string, number>;
    /** Loads from the weight store that may start now. */
    readonly loadsAllowed: number;
    /** Token of the owner that plans. */
    readonly fencingToken: number;
    /** Lowest epoch that is above all epochs seen. */
    readonly nextEpoch: number;
    /** Monotonic milliseconds. */
    readonly now: number;
}

/** Planner of one domain. */
export interface DomainPlanner {
    plan(input: DomainPlanInput): EngineOrder[];
}

/** How long members may take to report that they join, on top of the time that the join itself takes. */
const JOIN_GRACE_MILLISECONDS = 2_500;

/** Hosts whose entry lapsed are taken before hosts that must load the weights. */
const UNREGISTERED_SCORE = 1.5;

/** Hosts that come together are registered one by one; without this wait the first few would form a small group. */
const SETTLE_MILLISECONDS = 600;

/** A host that stages a model without showing it yet. */
interface Staging {
    readonly model: string;
    readonly until: number;
}

interface Formation {
    readonly model: string;
    readonly members: readonly string[];
    readonly startedAt: number;
}

/** A group with its formation, if this planner formed it. */
interface JudgedGroup {
    readonly group: EngineGroup;
    readonly forming: boolean;
    /** Head, unless it is lost. */
    readonly head?: Target;
    readonly lostMember: boolean;
    /** Whether a member drains, or the head may get no requests because its entry lapsed. */
    readonly retiring: boolean;
}

/** Makes the planner of a domain. */
export function createDomainPlanner(): DomainPlanner {
    const formations = new Map<string, Formation>();
    const staging = new Map<string, Staging>();

    const judge = (group: EngineGroup, input: DomainPlanInput): JudgedGroup => {
        const lost = new Set(input.hosts.filter(host => host.lost).map(host => host.target.id));
        return {
            group,
            forming: isForming(group, input),
            head: group.head === undefined || lost.has(group.head.id) ? undefined : group.head,
            lostMember: !group.whole || group.members.some(member => lost.has(member.id)),
            retiring: group.members.some(member => member.draining) || group.head?.registered === false,
        };
    };

    const isForming = (group: EngineGroup, input: DomainPlanInput): boolean => {
        const formation = formations.get(group.name);
        const profile = input.models.find(model => model.name === group.model);
        if (formation === undefined || profile === undefined) {
            return group.members.some(member => member.membership?.state === "joining");
        }
        const known = new Map(input.hosts.map(host => [host.target.id, host]));
        const lost = formation.members.some(member => {
            const host = known.get(member);
            return host === undefined || host.lost || host.target.draining;
        });
        const loading = group.members.some(member => member.membership?.state === "joining");
        const due = formation.startedAt + JOIN_GRACE_MILLISECONDS + (loading ? 2 * profile.loadMilliseconds : 0);
        return !lost && input.now < due;
    };

    const noteStaging = (input: DomainPlanInput, orders: readonly EngineOrder[]): void => {
        orders.forEach(order => {
            const load = input.models.find(model => "model" in order && model.name === order.model)?.loadMilliseconds;
            if (order.kind === "stage") {
                staging.set(order.host, { model: order.model, until: input.now + 2 * (load ?? 0) });
            }
        });
    };

    const forgetFormations = (input: DomainPlanInput): void => {
        [...staging].filter(([, { until }]) => input.now > until).forEach(([host]) => staging.delete(host));
        const longest = Math.max(0, ...input.models.map(model => model.loadMilliseconds));
        [...formations].forEach(([name, { startedAt }]) => {
            if (input.now - startedAt > 2 * longest + JOIN_GRACE_MILLISECONDS) {
                formations.delete(name);
            }
        });
    };

    /** Hosts that a formation waits for, although they do not report its group yet. */
    const expectedMembers = (input: DomainPlanInput, groups: readonly JudgedGroup[]): Set<string> => {
        const abandoned = new Set(groups.filter(({ forming }) => !forming).map(({ group }) => group.name));
        return new Set(
            [...formations].flatMap(([name, { members, startedAt }]) =>
                abandoned.has(name) || input.now - startedAt > JOIN_GRACE_MILLISECONDS ? [] : members
            ),
        );
    };

    return {
        plan: input => {
            forgetFormations(input);
            const targets = input.hosts.map(host => host.target);
            const groups = groupsOf(targets, input.models).map(group => judge(group, input));
            const changes = groups.flatMap(group => ordersForGroup(group));
            const expected = expectedMembers(input, groups);
            const usable = new Map(
                input.hosts.filter(host => !host.awaiting && !host.unreachable).map(host => [host.target.id, host]),
            );
            const free = freeHosts(input, groups).filter(target => usable.has(target.id) && !expected.has(target.id));
            // Hosts whose last order has not shown its effect may be free a moment later, and then allow another mix.
            const mayForm = isSettled(input, groups)
                && !freeHosts(input, groups).some(target => !usable.has(target.id));
            const formed = formGroups(input, mayForm ? free : [], (name, formation) => formations.set(name, formation));
            const taken = new Set(formed.map(order => order.host));
            const idle = free.filter(target => !taken.has(target.id));
            const staged = isSettled(input, groups) && formed.length === 0
                ? stageIdleHosts(input, idle, input.loadsAllowed, staging)
                : [];
            noteStaging(input, staged);
            return [...changes, ...formed, ...staged].filter(order => usable.has(order.host));
        },
    };
}

/** Returns whether groups may be formed: hosts are still being registered in a domain that has no group yet. */
function isSettled(input: DomainPlanInput, groups: readonly JudgedGroup[]): boolean {
    const newest = Math.max(0, ...input.hosts.map(host => host.knownSince));
    return groups.length > 0 || input.now - newest >= SETTLE_MILLISECONDS;
}

/** Opens, closes or takes apart one group. */
function ordersForGroup({ group, forming, head, lostMember, retiring }: JudgedGroup): EngineOrder[] {
    const { name, epoch } = group;
    if (isReadyToOpen(group) && head !== undefined && !lostMember) {
        return [{ kind: "open", host: head.id, group: name, epoch }];
    }
    if (forming) {
        return [];
    }
    const state = head?.membership?.state;
    if (head !== undefined && lostMember && (state === "open" || state === "closing")) {
        return [{ kind: "leave", host: head.id, group: name, epoch }];
    }
    if (head !== undefined && retiring && state === "open") {
        return [{ kind: "close", host: head.id, group: name, epoch, work: "finish" }];
    }
    if (head === undefined) {
        // A head that is gone may still be open behind a partition: its members leave before they join another group.
        return group.members.map(member => ({ kind: "leave", host: member.id, group: name, epoch }));
    }
    return [];
}

/** Hosts that may be asked to join a group: without a group, or in one whose head does not serve. */
function freeHosts(input: DomainPlanInput, groups: readonly JudgedGroup[]): Target[] {
    const lost = new Set(input.hosts.filter(host => host.lost).map(host => host.target.id));
    const held = new Set(
        groups.filter(holdsMembers).flatMap(({ group }) => group.members.map(member => member.id)),
    );
    return input.hosts.map(host => host.target).filter(target =>
        !target.draining && !held.has(target.id) && !lost.has(target.id)
    );
}

function holdsMembers({ forming, head, lostMember, retiring }: JudgedGroup): boolean {
    const state = head?.membership?.state;
    const mayServe = state === undefined || state === "open" || state === "closing";
    const sound = !lostMember && !retiring && state !== "broken";
    return forming || mayServe || sound;
}

/** Forms groups of free hosts, of the models that need them most. */
function formGroups(
    input: DomainPlanInput,
    free: readonly Target[],
    note: (group: string, formation: Formation) => void,
): EngineOrder[] {
    const mix = chooseMix(
        input.models.map(profile => ({
            profile,
            demand: input.demandByModel.get(profile.name) ?? profile.share,
            groups: input.groupsByModel.get(profile.name) ?? 0,
        })),
        free.length,
    );
    const wanted = [...input.models].sort((left, right) => right.size - left.size)
        .flatMap(profile => Array.from({ length: mix.get(profile.name) ?? 0 }, () => profile));
    let rest = free;
    let loads = Math.max(0, input.loadsAllowed);
    return wanted.flatMap((profile, index) => {
        const members = headFirst(preferStaged(rest, profile.name), profile.size);
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
        note(group, { model: profile.name, members: ids, startedAt: input.now });
        return ids.map(host => ({ kind: "join", host, group, epoch, model: profile.name, members: ids }) as const);
    });
}

/** Takes so many hosts with a registered one first, as requests go to the head; none if no host is registered. */
function headFirst(hosts: readonly Target[], size: number): Target[] {
    const head = hosts.find(host => host.registered);
    return head === undefined ? [] : [head, ...hosts.filter(host => host !== head)].slice(0, size);
}

/** Sorts hosts: those that run the model, then those that hold its weights, then those that hold none. */
function preferStaged(hosts: readonly Target[], model: string): Target[] {
    const score = (target: Target): number => {
        if (target.model === model) {
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

/** Has idle hosts without weights stage the model whose groups are most likely to need them. */
function stageIdleHosts(
    input: DomainPlanInput,
    idle: readonly Target[],
    loadsAllowed: number,
    staging: ReadonlyMap<string, Staging>,
): EngineOrder[] {
    const holds = (target: Target, model: string): boolean =>
        target.stagedModels.includes(model) || staging.get(target.id)?.model === model;
    const spares = new Map(
        input.models.map(model => [model.name, idle.filter(target => holds(target, model.name)).length]),
    );
    const empty = idle.filter(target => target.stagedModels.length === 0 && !target.busy && !staging.has(target.id));
    return empty.slice(0, Math.max(0, loadsAllowed)).flatMap(target => {
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
