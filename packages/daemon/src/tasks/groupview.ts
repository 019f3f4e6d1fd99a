/** Groups that may be dispatched to, computed from the groups stream, the observations, the host list and the table. */
import {
    type Confirmation,
    confirmGroup,
    type FoldState,
    type GroupsState,
    type HeldGroup,
    type Observation,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { DispatchableGroup, GroupView } from "../ports/groupview.js";
import type { Metrics } from "../ports/metrics.js";
import type { TableView } from "../ports/tableview.js";
import type { HostsView } from "./hosts.js";
import type { MembersView } from "./membership.js";
import { findRetiringGroups } from "./planinput.js";
import type { Published } from "./published.js";

/** Inputs of the view. */
export interface GroupViewOptions {
    readonly dataCentre: string;
    readonly folded: Published<FoldState<GroupsState>>;
    readonly observations: Published<ReadonlyMap<string, Observation>>;
    readonly hosts: Published<HostsView>;
    readonly table: Published<TableView>;
    readonly members: Published<MembersView>;
    readonly clock: Clock;
    readonly metrics: Metrics;
}

/** State of one group, for status and metrics. */
export interface GroupStatus {
    readonly group: HeldGroup;
    readonly confirmation: Confirmation;
    /** Why the group receives no new work although it may be confirmed. */
    readonly retiring?: string;
}

interface ConfirmedGroup {
    readonly view: DispatchableGroup;
    readonly validUntil: number;
}

/** View of the groups of the local data centre. */
export class GroupViewTask implements GroupView {
    private confirmed: ReadonlyMap<string, ConfirmedGroup> = new Map();
    private statuses: readonly GroupStatus[] = [];
    private readonly unsubscribe: readonly (() => void)[];

    constructor(private readonly options: GroupViewOptions) {
        const { folded, observations, hosts, table } = options;
        const refresh = () => this.refresh();
        this.unsubscribe = [folded, observations, hosts, table].map(published => published.subscribe(refresh));
        this.refresh();
    }

    /** Unsubscribes from the inputs. */
    stop(): void {
        this.unsubscribe.forEach(stop => stop());
    }

    dispatchable(model: string): readonly DispatchableGroup[] {
        const now = this.options.clock.monotonic();
        return [...this.confirmed.values()]
            .filter(({ view, validUntil }) => view.model === model && validUntil >= now)
            .map(({ view }) => view);
    }

    mayDispatch(group: string, fence: number): boolean {
        const confirmed = this.confirmed.get(group);
        return confirmed?.view.fence === fence && confirmed.validUntil >= this.options.clock.monotonic();
    }

    remoteDataCentres(model: string): ReturnType<GroupView["remoteDataCentres"]> {
        return this.options.members.current().others
            .filter(({ info, models }) =>
                info.state === "alive" && info.dataCentre !== this.options.dataCentre && models.includes(model)
            )
            .map(({ info: { dataCentre, daemon, address } }) => ({ dataCentre, daemon, address }));
    }

    /** Returns the models that have a dispatchable group now. */
    models(): readonly string[] {
        const now = this.options.clock.monotonic();
        const ready = [...this.confirmed.values()].filter(({ validUntil }) => validUntil >= now);
        return [...new Set(ready.map(({ view }) => view.model))];
    }

    /** Returns the state of every group, for the operators. */
    status(): readonly GroupStatus[] {
        return this.statuses;
    }

    private refresh(): void {
        const { folded, observations, hosts, table, clock, metrics, dataCentre } = this.options;
        const now = clock.monotonic();
        const { state } = folded.current();
        const observed = observations.current();
        const confirm = (group: HeldGroup) => confirmGroup(group, observed, now);
        const sources = {
            dataCentre,
            state,
            hosts: hosts.current(),
            observations: observed,
            table: table.current(),
            now,
        };
        const retiring = findRetiringGroups(sources);
        this.statuses = Object.values(state.groups).map(group => ({
            group,
            confirmation: confirm(group),
            retiring: retiring.get(group.group),
        }));
        this.confirmed = new Map(this.statuses.flatMap(status => {
            const confirmed = this.confirmedGroup(status, observed, now);
            return confirmed === undefined ? [] : [[status.group.group, confirmed]];
        }));
        metrics.gauge("groups.known", this.statuses.length);
        metrics.gauge("groups.dispatchable", this.confirmed.size);
    }

    private confirmedGroup(
        { group, confirmation, retiring }: GroupStatus,
        observed: ReadonlyMap<string, Observation>,
        now: number,
    ): ConfirmedGroup | undefined {
        const leader = this.options.hosts.current().hosts.get(group.leader);
        if (confirmation.kind !== "dispatchable" || retiring !== undefined || leader === undefined) {
            return undefined;
        }
        const previous = this.confirmed.get(group.group);
        const isContinuous = previous?.view.fence === group.fence && previous.validUntil >= now;
        const report = observed.get(group.leader);
        const load = report === undefined ? undefined : {
            running: report.report.load.running,
            queued: report.report.load.queued,
            reportedAt: report.observedAt - report.report.load.ageMilliseconds,
        };
        const { group: id, model, fence, members } = group;
        const readySince = isContinuous ? previous.view.readySince : now;
        const view = {
            group: id,
            model,
            fence,
            members,
            leader: group.leader,
            leaderUrl: leader.url,
            readySince,
            load,
        };
        return { view, validUntil: confirmation.validUntil };
    }
}
