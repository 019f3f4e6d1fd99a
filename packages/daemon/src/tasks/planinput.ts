/** Input of the planner, from what the other tasks publish. */
import {
    CONFIRMATION_BOUND_MILLISECONDS,
    confirmGroup,
    groupOfHost,
    type GroupsState,
    holderKeyOf,
    MEMBER_LOSS_GRACE_MILLISECONDS,
    modelsIn,
    type Observation,
    type PlanInput,
    rendezvous,
    retiringGroups,
} from "@damaskvale/core";
import type { TableView } from "../ports/tableview.js";
import type { Absences } from "./absences.js";
import { type HostsView, leavingHosts } from "./hosts.js";
import type { MembersView } from "./membership.js";

/** What the input is made from. */
export interface PlanSources {
    readonly dataCentre: string;
    readonly state: GroupsState;
    readonly hosts: HostsView;
    readonly observations: ReadonlyMap<string, Observation>;
    readonly table: TableView;
    readonly absences: Absences;
    /** Key of the holder that this daemon is. */
    readonly holder: string;
    readonly now: number;
    readonly drainMilliseconds: number;
    readonly maximumLoads: number;
}

/** Returns the daemon that plans for a data centre: the first by rendezvous hashing over its live daemons. */
export function selectPlanner(dataCentre: string, live: MembersView["live"]): string | undefined {
    const names = live.filter(news => news.dataCentre === dataCentre).map(news => news.daemon);
    return rendezvous(`plan/${dataCentre}`, names, 1)[0];
}

/** What decides about retirement. */
export type RetireSources = Pick<PlanSources, "dataCentre" | "state" | "hosts" | "observations" | "table" | "now">;

/** Returns the groups that get no new work, with the reason. */
export function retiringNow(
    { dataCentre, state, hosts, observations, table, now }: RetireSources,
): ReadonlyMap<string, string> {
    const leaving = leavingHosts(hosts, table);
    const unowned = [...hosts.hosts.keys()].filter(host =>
        !leaving.has(host) && groupOfHost(state, host) === undefined
        && now - (observations.get(host)?.observedAt ?? Number.NEGATIVE_INFINITY) <= CONFIRMATION_BOUND_MILLISECONDS
    );
    return retiringGroups({
        state,
        models: modelsIn(modelRows(table), dataCentre),
        leaving,
        unowned: unowned.length,
        isReady: group => confirmGroup(group, observations, now).kind === "dispatchable",
    });
}

/** Makes the planner's input. Hosts count as reporting only within the confirmation bound. */
export function planInput(sources: PlanSources): PlanInput {
    const { dataCentre, state, hosts, observations, table, absences, holder, now } = sources;
    return {
        dataCentre,
        state,
        models: modelRows(table),
        hosts: [...hosts.hosts.values()].map(listed => {
            const seen = observations.get(listed.host);
            const fresh = seen !== undefined && now - seen.observedAt <= CONFIRMATION_BOUND_MILLISECONDS;
            return {
                listed,
                draining: table.target(listed.host)?.state === "draining",
                report: fresh ? seen.report : undefined,
                reportAgeMilliseconds: fresh ? now - seen.observedAt : undefined,
            };
        }),
        groups: Object.values(state.groups).map(group => ({
            group: group.group,
            held: holderKeyOf(group) === holder,
            missingMilliseconds: absences.missingMilliseconds(group.group, now),
            retiringMilliseconds: absences.retiringMilliseconds(group.group, now),
        })),
        graceMilliseconds: MEMBER_LOSS_GRACE_MILLISECONDS,
        drainMilliseconds: sources.drainMilliseconds,
        maximumLoads: sources.maximumLoads,
    };
}

function modelRows(table: TableView): PlanInput["models"] {
    return table.rows.flatMap(({ row }) => row.kind === "model" ? [row] : []);
}
