/**
 * Planning of the replica groups of one data centre: which groups to dissolve, which to form from which hosts, and
 * which hosts must be cleared first. Pure: the same input gives the same actions.
 */
import type { RowOf } from "../table/row.js";
import { RETIREMENT_NOTICE_MILLISECONDS } from "./constants.js";
import type { GroupsState, HeldGroup } from "./fold.js";
import { groupById, groupOfHost, revisionOf } from "./fold.js";
import { isCurrent, modelsIn, retiringGroups } from "./retire.js";
import { poolsOf, selectHosts } from "./select.js";
import type { ListedHost, Report } from "./types.js";

/** What the planner knows of one listed host. */
export interface PlannedHost {
    readonly listed: ListedHost;
    /** Whether the table drains the host. A draining host is treated like one that the platform lists as leaving. */
    readonly draining: boolean;
    /** Newest report within the confirmation bound; absent while the host does not report. */
    readonly report?: Report;
    /** Age of the report in milliseconds; 0 if absent. */
    readonly reportAgeMilliseconds?: number;
}

/** State of a group that the planner cannot derive from the hosts' reports alone. */
export interface PlannedGroup {
    readonly group: string;
    /** How long a member has not reported, in milliseconds; 0 while all report. */
    readonly missingMilliseconds: number;
    /** Whether the planner's daemon holds the group and may dissolve it. */
    readonly held: boolean;
    /** How long the group has got no new work because it retires, in milliseconds; 0 while it does not. */
    readonly retiringMilliseconds: number;
}

/** Input of the planner. */
export interface PlanInput {
    readonly dataCentre: string;
    readonly hosts: readonly PlannedHost[];
    readonly state: GroupsState;
    readonly groups: readonly PlannedGroup[];
    readonly models: readonly RowOf<"model">[];
    /** How long a group may miss a member before it is dissolved, in milliseconds. */
    readonly graceMilliseconds: number;
    /** How long requests in progress on a retiring group may take, in milliseconds. */
    readonly drainMilliseconds: number;
    /** Hosts that may load weights at the same time, because the weight store is rate limited. */
    readonly maximumLoads: number;
}

/** One action of a plan. */
export type PlanAction =
    | { readonly kind: "dissolve"; readonly group: string; readonly fence: number; readonly reason: string; }
    | { readonly kind: "clear"; readonly host: string; readonly group: string; readonly fence: number; }
    | {
        readonly kind: "form";
        readonly model: string;
        readonly version: string;
        readonly members: readonly { readonly host: string; readonly revision: number; }[];
        readonly leader: string;
    };

/** Action that forms a group. */
export type FormAction = Extract<PlanAction, { kind: "form"; }>;

/** Plans with fabric domains, spares, weights and rationed loads. */
export function planGroups(input: PlanInput): PlanAction[] {
    return [...planDissolves(input), ...planClears(input), ...planForms(input)];
}

/** Returns whether a host may get work: it reports, and neither the platform nor the table takes it away. */
export function isUsable(host: PlannedHost): boolean {
    return host.report !== undefined && !isLeaving(host);
}

/** Returns whether a host leaves by the platform's list or by the table. */
export function isLeaving(host: PlannedHost): boolean {
    return host.draining || host.listed.state === "leaving";
}

/** Returns the hosts that can be planned: usable, owned by no group, and without an old role. */
export function freeHosts(input: PlanInput): PlannedHost[] {
    return input.hosts.filter(host =>
        isUsable(host) && host.report?.group === undefined && groupOfHost(input.state, host.listed.host) === undefined
    );
}

/** Returns the groups of a model that count towards its replicas: groups with a leaving member do not. */
export function replicasOf(input: PlanInput, model: RowOf<"model">): HeldGroup[] {
    const leaving = leavingNames(input);
    return Object.values(input.state.groups).filter(group =>
        isCurrent(group, model) && !group.members.some(host => leaving.has(host))
    );
}

/** Returns the models of the data centre, the ones whose downtime weighs most first. */
export function plannedModels(input: PlanInput): RowOf<"model">[] {
    return modelsIn(input.models, input.dataCentre).toSorted((one, other) =>
        other.downtimeWeight - one.downtimeWeight || one.name.localeCompare(other.name)
    );
}

function planDissolves(input: PlanInput): PlanAction[] {
    const reports = new Map(input.hosts.map(host => [host.listed.host, host.report]));
    const retiring = retiringGroups({
        state: input.state,
        models: plannedModels(input),
        leaving: leavingNames(input),
        unowned: input.hosts.filter(host =>
            isUsable(host) && groupOfHost(input.state, host.listed.host) === undefined
        ).length,
        isReady: group => group.members.every(host => reportsReady(group, reports.get(host))),
    });
    return input.groups.filter(group => group.held).flatMap(planned => {
        const held = groupById(input.state, planned.group);
        if (held === undefined) {
            return [];
        }
        const retirement = retiring.get(planned.group);
        const drained = hasDrained(input, held, planned) || planned.retiringMilliseconds >= input.drainMilliseconds;
        const reason = planned.missingMilliseconds >= input.graceMilliseconds
            ? "a member is missing"
            : drained
            ? retirement
            : undefined;
        return reason === undefined ? [] : [{ kind: "dissolve", group: held.group, fence: held.fence, reason }];
    });
}

/** Returns whether a report confirms a group as ready. */
export function reportsReady(group: HeldGroup, report: Report | undefined): boolean {
    return report?.group === group.group && report.fence === group.fence && report.state === "ready";
}

/**
 * Returns whether the leader has reported no requests since all daemons know that the group retires. A group that does
 * not report is handled by the grace instead.
 */
function hasDrained(input: PlanInput, group: HeldGroup, { retiringMilliseconds }: PlannedGroup): boolean {
    const leader = input.hosts.find(host => host.listed.host === group.leader);
    if (leader?.report === undefined) {
        return false;
    }
    const { running, queued } = leader.report.load;
    const retiredBefore = retiringMilliseconds - (leader.reportAgeMilliseconds ?? 0);
    return running === 0 && queued === 0 && retiredBefore >= RETIREMENT_NOTICE_MILLISECONDS;
}

/**
 * Clears hosts that report a group although no group owns them. The fencing number is the offset of the record that
 * freed the host: above the old role's number and below that of any later group.
 */
function planClears(input: PlanInput): PlanAction[] {
    return input.hosts.flatMap(({ listed, report }) => {
        if (report?.group === undefined || groupOfHost(input.state, listed.host) !== undefined) {
            return [];
        }
        const fence = Math.max(revisionOf(input.state, listed.host) - 1, report.fence ?? 0);
        return [{ kind: "clear", host: listed.host, group: report.group, fence }];
    });
}

function planForms(input: PlanInput): readonly PlanAction[] {
    const models = plannedModels(input);
    const loading = loadingHosts(input);
    const absent = input.hosts.filter(host => !isUsable(host)).length;
    const needs = models.flatMap((model, index) => {
        const missing = Math.max(0, model.replicas - replicasOf(input, model).length);
        const reserved = models.slice(0, index)
            .filter(other => other.downtimeWeight > model.downtimeWeight)
            .reduce((total, other) => total + other.spares, 0);
        return Array.from({ length: missing }, () => ({ model, reserved }));
    });
    return needs.reduce<Forming>((forming, { model, reserved }) => {
        // A replica larger than the ration may still load, but only alone.
        const mayLoad = forming.loads + model.members <= input.maximumLoads || forming.loads === 0;
        const kept = Math.max(reserved, forming.kept);
        const occupied = occupiedDomains(input, model, forming.actions);
        const selected = mayLoad ? selectHosts({ pools: poolsOf(forming.free), model, kept, occupied }) : [];
        return selected.length === 0 ? withKept(forming, model, absent) : {
            ...forming,
            free: forming.free.filter(host => !selected.includes(host)),
            loads: forming.loads + model.members,
            actions: [...forming.actions, formAction(input.state, model, selected.map(host => host.host))],
        };
    }, { free: freeHosts(input).map(host => host.listed), loads: loading, kept: 0, actions: [] }).actions;
}

interface Forming {
    readonly free: readonly ListedHost[];
    readonly loads: number;
    /** Hosts kept for models that were considered before. */
    readonly kept: number;
    readonly actions: readonly FormAction[];
}

/**
 * Keeps hosts for a replica that cannot be formed now but could be once the absent hosts return. Models considered
 * later would take the hosts and not give them back, and the replica would stay down for as long as they run.
 */
function withKept(forming: Forming, model: RowOf<"model">, absent: number): Forming {
    const kept = forming.kept + model.members;
    return kept <= forming.free.length + absent ? { ...forming, kept } : forming;
}

/** Makes a form action with the hosts' ownership revisions. The first host leads. */
export function formAction(state: GroupsState, model: RowOf<"model">, hosts: readonly string[]): FormAction {
    return {
        kind: "form",
        model: model.name,
        version: model.version,
        members: hosts.map(host => ({ host, revision: revisionOf(state, host) })),
        leader: hosts[0] ?? "",
    };
}

/** Counts hosts that are owned by a group and not yet ready in it: each loads weights, or is about to. */
function loadingHosts(input: PlanInput): number {
    return input.hosts.filter(({ listed, report }) => {
        const group = groupOfHost(input.state, listed.host);
        return group !== undefined && report !== undefined
            && !(report.group === group.group && report.state === "ready");
    }).length;
}

/** Counts the groups of a model in each fabric domain, with the ones that this plan forms already. */
function occupiedDomains(
    input: PlanInput,
    model: RowOf<"model">,
    forming: readonly FormAction[],
): ReadonlyMap<string, number> {
    const domains = new Map(input.hosts.map(host => [host.listed.host, host.listed.fabricDomain]));
    return [...replicasOf(input, model), ...forming.filter(action => action.model === model.name)]
        .map(group => domains.get(group.leader) ?? "")
        .reduce((counts, domain) => counts.set(domain, (counts.get(domain) ?? 0) + 1), new Map<string, number>());
}

function leavingNames(input: PlanInput): ReadonlySet<string> {
    return new Set(input.hosts.filter(isLeaving).map(host => host.listed.host));
}
