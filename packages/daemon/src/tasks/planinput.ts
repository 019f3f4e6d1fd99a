/** Builds the input of the planner from the values that the other tasks publish. */
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
import type { GroupDurations } from "./groupdurations.js";
import { type HostsView, leavingHosts } from "./hosts.js";
import type { MembersView } from "./membership.js";

/** Sources of the planner's input. */
export interface PlanSources {
    readonly dataCentre: string;
    readonly state: GroupsState;
    readonly hosts: HostsView;
    readonly observations: ReadonlyMap<string, Observation>;
    readonly table: TableView;
    readonly durations: GroupDurations;
    /** Holder key of this daemon. */
    readonly holder: string;
    readonly now: number;
    readonly drainMilliseconds: number;
    readonly maximumLoads: number;
}

/** Returns the daemon that plans for a data centre: the first by rendezvous hashing over its live daemons. */
export function selectPlanner(dataCentre: string, live: MembersView["live"]): string | undefined {
    const names = live.filter(info => info.dataCentre === dataCentre).map(info => info.daemon);
    return rendezvous(`plan/${dataCentre}`, names, 1)[0];
}

/** Sources that decide which groups retire. */
export type RetirementSources = Pick<PlanSources, "dataCentre" | "state" | "hosts" | "observations" | "table" | "now">;

/** Returns the groups that receive no new work, with the reason. */
export function findRetiringGroups(
    { dataCentre, state, hosts, observations, table, now }: RetirementSources,
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

/** Creates the planner's input. Reports older than the confirmation bound are left out. */
export function createPlanInput(sources: PlanSources): PlanInput {
    const { dataCentre, state, hosts, observations, table, durations, holder, now } = sources;
    return {
        dataCentre,
        state,
        models: modelRows(table),
        hosts: [...hosts.hosts.values()].map(listed => {
            const observation = observations.get(listed.host);
            const isFresh = observation !== undefined
                && now - observation.observedAt <= CONFIRMATION_BOUND_MILLISECONDS;
            return {
                listed,
                draining: table.target(listed.host)?.state === "draining",
                report: isFresh ? observation.report : undefined,
                reportAgeMilliseconds: isFresh ? now - observation.observedAt : undefined,
            };
        }),
        groups: Object.values(state.groups).map(group => ({
            group: group.group,
            held: holderKeyOf(group) === holder,
            missingMilliseconds: durations.missingMilliseconds(group.group, now),
            retiringMilliseconds: durations.retiringMilliseconds(group.group, now),
        })),
        graceMilliseconds: MEMBER_LOSS_GRACE_MILLISECONDS,
        drainMilliseconds: sources.drainMilliseconds,
        maximumLoads: sources.maximumLoads,
    };
}

function modelRows(table: TableView): PlanInput["models"] {
    return table.rows.flatMap(({ row }) => row.kind === "model" ? [row] : []);
}
