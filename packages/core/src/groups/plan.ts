/**
 * Plans the replica groups of one data centre: which groups to dissolve, which to form from which hosts, and which
 * hosts must be cleared first. Pure: the same input gives the same actions.
 */
import type { RowOf } from "../table/row.js";
import { RETIREMENT_NOTICE_MILLISECONDS } from "./constants.js";
import type { GroupsState, HeldGroup } from "./fold.js";
import { groupById, groupOfHost, revisionOf } from "./fold.js";
import { isCurrent, modelsIn, retiringGroups } from "./retire.js";
import { poolsOf, selectHosts } from "./select.js";
import type { ListedHost, Report } from "./types.js";

/** State of one listed host as the planner sees it. */
export interface PlannedHost {
    readonly listed: ListedHost;
    /** Whether the table marks the host as draining. It is treated like a host that the platform lists as leaving. */
    readonly draining: boolean;
    /** Newest report within the confirmation bound; absent while the host does not report. */
    readonly report?: Report;
    /** Age of the report in milliseconds; 0 if absent. */
    readonly reportAgeMilliseconds?: number;
}

/** State of a group that the planner cannot derive from the hosts' reports alone. */
export interface PlannedGroup {
    readonly group: string;
    /** How long a member has not reported, in milliseconds; 0 while all members report. */
    readonly missingMilliseconds: number;
    /** Whether the planner's daemon holds the group and may dissolve it. */
    readonly held: boolean;
    /** How long the group has been retiring and has got no new requests, in milliseconds; 0 if it is not retiring. */
    readonly retiringMilliseconds: number;
}

/** Input of the planner. */
export interface PlanInput {
    readonly dataCentre: string;
    readonly hosts: readonly PlannedHost[];
    readonly state: GroupsState;
    readonly groups: readonly PlannedGroup[];
    readonly models: readonly RowOf<"model">[];
    /** How long a member may be missing before its group is dissolved, in milliseconds. */
    readonly graceMilliseconds: number;
    /** Maximum time to drain the requests in progress on a retiring group, in milliseconds. */
    readonly drainMilliseconds: number;
    /** Maximum number of hosts that load weights at the same time, because the weight store is rate limited. */
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

/** Plans groups by fabric domains, spares, cost weights and the limit on concurrent loads. */
export function planGroups(input: PlanInput): PlanAction[] {
    return [...planDissolves(input), ...planClears(input), ...planForms(input)];
}

/** Returns whether a host may be a member of a new group: it reports and is not leaving. */
export function isUsable(host: PlannedHost): boolean {
    return host.report !== undefined && !isLeaving(host);
}

/** Returns whether the platform lists the host as leaving or the table drains it. */
export function isLeaving(host: PlannedHost): boolean {
    return host.draining || host.listed.state === "leaving";
}

/** Returns the hosts that are usable, owned by no group, and do not report an earlier group. */
export function freeHosts(input: PlanInput): PlannedHost[] {
    return input.hosts.filter(host =>
        isUsable(host) && host.report?.group === undefined && groupOfHost(input.state, host.listed.host) === undefined
    );
}

/** Returns the groups that count as replicas of a model: current version and size, and no member leaving. */
export function replicasOf(input: PlanInput, model: RowOf<"model">): HeldGroup[] {
    const leaving = leavingHosts(input);
    return Object.values(input.state.groups).filter(group =>
        isCurrent(group, model) && !group.members.some(host => leaving.has(host))
    );
}

/** Returns the models of the data centre, ordered by descending downtime weight. */
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
        leaving: leavingHosts(input),
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
 * Returns whether the leader reports no requests after the time by which all daemons know that the group is retiring. A
 * group that does not report is dissolved after the grace period for missing members.
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
 * Clears hosts that report a group although no group owns them. The fencing token is the offset of the record that
 * freed the host: higher than the token of the former group and lower than that of any later group.
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
    const loading = countLoadingHosts(input);
    const unusable = input.hosts.filter(host => !isUsable(host)).length;
    const needs = models.flatMap((model, index) => {
        const missing = Math.max(0, model.replicas - replicasOf(input, model).length);
        const spares = models.slice(0, index)
            .filter(other => other.downtimeWeight > model.downtimeWeight)
            .reduce((total, other) => total + other.spares, 0);
        return Array.from({ length: missing }, () => ({ model, spares }));
    });
    return needs.reduce<FormationProgress>((progress, { model, spares }) => {
        // A replica with more members than the limit may load only while no other hosts load.
        const mayLoad = progress.loads + model.members <= input.maximumLoads || progress.loads === 0;
        const reserved = Math.max(spares, progress.reserved);
        const groupsByDomain = countGroupsByDomain(input, model, progress.actions);
        const selected = mayLoad ? selectHosts({ pools: poolsOf(progress.free), model, reserved, groupsByDomain }) : [];
        return selected.length === 0 ? reserveHosts(progress, model, unusable) : {
            ...progress,
            free: progress.free.filter(host => !selected.includes(host)),
            loads: progress.loads + model.members,
            actions: [...progress.actions, formAction(input.state, model, selected.map(host => host.host))],
        };
    }, { free: freeHosts(input).map(host => host.listed), loads: loading, reserved: 0, actions: [] }).actions;
}

interface FormationProgress {
    readonly free: readonly ListedHost[];
    readonly loads: number;
    /** Number of hosts that are reserved for replicas of models considered before. */
    readonly reserved: number;
    readonly actions: readonly FormAction[];
}

/**
 * Reserves hosts for a replica that cannot be formed now but could be once unusable hosts return. Otherwise, groups of
 * models considered later would take the hosts, and the replica would stay down for as long as those groups run.
 */
function reserveHosts(progress: FormationProgress, model: RowOf<"model">, unusable: number): FormationProgress {
    const reserved = progress.reserved + model.members;
    return reserved <= progress.free.length + unusable ? { ...progress, reserved } : progress;
}

/** Creates a form action with the ownership revisions of the hosts. The first host is the leader. */
export function formAction(state: GroupsState, model: RowOf<"model">, hosts: readonly string[]): FormAction {
    return {
        kind: "form",
        model: model.name,
        version: model.version,
        members: hosts.map(host => ({ host, revision: revisionOf(state, host) })),
        leader: hosts[0] ?? "",
    };
}

/** Counts the hosts that are owned by a group and not ready in it yet: they load weights or are about to. */
function countLoadingHosts(input: PlanInput): number {
    return input.hosts.filter(({ listed, report }) => {
        const group = groupOfHost(input.state, listed.host);
        return group !== undefined && report !== undefined
            && !(report.group === group.group && report.state === "ready");
    }).length;
}

/** Counts the groups of a model in each fabric domain, including those that this plan already forms. */
function countGroupsByDomain(
    input: PlanInput,
    model: RowOf<"model">,
    forming: readonly FormAction[],
): ReadonlyMap<string, number> {
    const domains = new Map(input.hosts.map(host => [host.listed.host, host.listed.fabricDomain]));
    return [...replicasOf(input, model), ...forming.filter(action => action.model === model.name)]
        .map(group => domains.get(group.leader) ?? "")
        .reduce((counts, domain) => counts.set(domain, (counts.get(domain) ?? 0) + 1), new Map<string, number>());
}

function leavingHosts(input: PlanInput): ReadonlySet<string> {
    return new Set(input.hosts.filter(isLeaving).map(host => host.listed.host));
}
