/** Task that plans, forms, orders, renews, takes over and dissolves the replica groups of a data centre. */
import {
    type Decision,
    freeHosts,
    type GroupsBody,
    type GroupsBodyOf,
    type GroupsState,
    type HeldGroup,
    holderKey,
    holderKeyOf,
    LEASE_MILLISECONDS,
    type Observation,
    type PlanAction,
    planGroups,
    type PlanInput,
    RENEWAL_INTERVAL_MILLISECONDS,
    renewalOf,
} from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";
import type { EngineClient } from "../ports/engine.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { Stream } from "../ports/stream.js";
import type { TableView } from "../ports/tableview.js";
import { Absences } from "./absences.js";
import type { HostsView } from "./hosts.js";
import { ForeignLeases, OwnLease } from "./leases.js";
import { createMailbox } from "./mailbox.js";
import type { MembersView } from "./membership.js";
import { Orders } from "./orders.js";
import { planInput, type PlanSources, retiringNow, selectPlanner } from "./planinput.js";
import type { Published } from "./published.js";

/** Time between two steps of the task. */
export const GROUPS_STEP_MILLISECONDS = 500;
/** Requests in progress on a retiring group may take as long as the default deadline of a request. */
export const DRAIN_MILLISECONDS = 120_000;
/** Default number of hosts that load weights at the same time: two replicas of 8 hosts. */
export const MAXIMUM_LOADS = 16;
const APPEND_TIMEOUT_MILLISECONDS = 5_000;
/** A fold that has read nothing from the platform for this long is not planned from. */
const FOLD_FRESH_MILLISECONDS = 5_000;

/** What the task needs. */
export interface GroupsOptions {
    readonly daemon: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly stream: Stream<GroupsState, GroupsBody>;
    readonly hosts: Published<HostsView>;
    readonly observations: Published<ReadonlyMap<string, Observation>>;
    readonly members: Published<MembersView>;
    readonly table: Published<TableView>;
    readonly engine: EngineClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
    /** Hosts that may load weights at the same time. */
    readonly maximumLoads?: number;
    /** Planner; the baseline is used in comparisons only. */
    readonly plan?: (input: PlanInput) => readonly PlanAction[];
}

/** The groups task. */
export class GroupsTask {
    private readonly lease = new OwnLease();
    private readonly foreign = new ForeignLeases();
    private readonly absences = new Absences();
    private readonly orders;
    private readonly mailbox;
    private readonly self;
    /** Appends in progress; each kind of record for each group is appended once at a time. */
    private readonly appending = new Set<string>();
    private renewedAt = Number.NEGATIVE_INFINITY;
    private formed = 0;
    private paused = false;
    private timer: NodeJS.Timeout | undefined;
    private unsubscribe: () => void = () => undefined;

    constructor(private readonly options: GroupsOptions) {
        const { daemon, incarnation, eventLog } = options;
        this.self = holderKey({ daemon, incarnation });
        this.orders = new Orders({ ...options, lease: this.lease });
        this.mailbox = createMailbox(
            { step: () => this.step() },
            (error, kind) => eventLog.emit("taskFailed", { task: "groups", kind, error }),
        );
    }

    /** Starts the steps. */
    start(): void {
        const { stream, clock } = this.options;
        this.foreign.note(stream.folded.current().state, clock.monotonic());
        this.unsubscribe = stream.folded.subscribe(({ state }) => {
            this.foreign.note(state, clock.monotonic());
            this.mailbox.post({ kind: "step" });
        });
        this.timer = setInterval(() => this.mailbox.post({ kind: "step" }), GROUPS_STEP_MILLISECONDS);
    }

    /** Stops. Groups that this daemon holds are taken over after its lease. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.unsubscribe();
        await this.mailbox.close();
    }

    private step(): void {
        const now = this.options.clock.monotonic();
        const sources = this.sources(now);
        const held = Object.values(sources.state.groups).filter(group => holderKeyOf(group) === this.self);
        const acting =
            selectPlanner(this.options.dataCentre, this.options.members.current().live) === this.options.daemon;
        this.absences.note(Object.values(sources.state.groups), sources.observations, retiringNow(sources), now);
        this.orders.forget(sources.hosts.hosts);
        // Without the lease of a record in progress the orders wait for its decision, which starts another step.
        if (this.lease.isValid(now) || this.appending.size === 0) {
            held.forEach(group => this.orderMembers(group, sources));
        }
        if (acting || held.length > 0) {
            this.renew(now);
        }
        if (!this.follows(now)) {
            return;
        }
        if (acting) {
            this.takeOver(sources.state, now);
        }
        this.plan(sources, acting);
    }

    private sources(now: number): PlanSources {
        const { dataCentre, stream, hosts, observations, table, maximumLoads } = this.options;
        return {
            dataCentre,
            state: stream.folded.current().state,
            hosts: hosts.current(),
            observations: observations.current(),
            table: table.current(),
            absences: this.absences,
            holder: this.self,
            now,
            drainMilliseconds: DRAIN_MILLISECONDS,
            maximumLoads: maximumLoads ?? MAXIMUM_LOADS,
        };
    }

    /** Returns whether the stream is followed from the platform. Without that nothing is formed or dissolved. */
    private follows(now: number): boolean {
        const { stream, eventLog } = this.options;
        const { platformReachable, freshAt, halted } = stream.health();
        const follows = platformReachable && halted === undefined && now - freshAt <= FOLD_FRESH_MILLISECONDS;
        if (!follows && !this.paused) {
            eventLog.emit("planningPaused", { stream: stream.name, halted });
        }
        this.paused = !follows;
        return follows;
    }

    /** Orders the group's role to members that report another one. */
    private orderMembers(group: HeldGroup, { hosts, observations, now }: PlanSources): void {
        const listed = group.members.flatMap(host => hosts.hosts.get(host) ?? []);
        if (listed.length < group.members.length) {
            return;
        }
        const members = listed.map(({ host, url }) => ({ host, url }));
        listed.forEach(target => {
            const seen = observations.get(target.host);
            const { group: role, fence } = seen?.report ?? {};
            const confirmed = role === group.group && fence === group.fence;
            // An engine that reports a higher number has newer orders than this daemon knows of.
            if (seen === undefined || confirmed || (fence ?? 0) > group.fence || now < seen.observedAt) {
                return;
            }
            const { model, version, leader } = group;
            const order = {
                order: "assign",
                group: group.group,
                fence: group.fence,
                model,
                version,
                members,
                leader,
            } as const;
            this.orders.request(target, order, seen);
        });
    }

    private renew(now: number): void {
        if (now - this.renewedAt < RENEWAL_INTERVAL_MILLISECONDS) {
            return;
        }
        this.renewedAt = now;
        this.append("renew", {
            kind: "renew",
            holder: this.options.daemon,
            durationMilliseconds: LEASE_MILLISECONDS,
        });
    }

    private takeOver(state: GroupsState, now: number): void {
        Object.values(state.groups)
            .filter(group => holderKeyOf(group) !== this.self && this.foreign.hasExpired(state, group, now))
            .forEach(group => {
                const { group: id, fence, holder: previousHolder } = group;
                const renewalOffset = renewalOf(state, group)?.offset ?? fence;
                const body = { kind: "takeover", group: id, fence, previousHolder, renewalOffset } as const;
                this.append(
                    `takeover ${id}`,
                    { ...body, holder: this.options.daemon },
                    () => this.options.eventLog.emit("groupTakenOver", { group: id, previousHolder }),
                );
            });
    }

    private plan(sources: PlanSources, acting: boolean): void {
        const plan = this.options.plan ?? planGroups;
        const input = planInput(sources);
        const actions = plan(input);
        this.options.metrics.gauge("hosts.free", freeHosts(input).length);
        actions.forEach(action => {
            if (action.kind === "dissolve") {
                const { group, fence, reason } = action;
                this.append(
                    `dissolve ${group}`,
                    { kind: "dissolve", group, fence, reason },
                    () => this.options.eventLog.emit("groupDissolved", { group, reason }),
                );
            }
            else if (action.kind === "clear" && acting) {
                this.clear(action, sources);
            }
        });
        const forming = [...this.appending].some(key => key.startsWith("form "));
        if (acting && !forming) {
            actions.filter(action => action.kind === "form").forEach(action => this.form(action));
        }
    }

    private clear({ host, group, fence }: PlanAction & { kind: "clear"; }, { hosts, observations }: PlanSources): void {
        const target = hosts.hosts.get(host);
        if (target !== undefined) {
            this.orders.request(target, { order: "clear", group, fence }, observations.get(host));
        }
    }

    private form({ model, version, members, leader }: PlanAction & { kind: "form"; }): void {
        const { daemon, incarnation, eventLog } = this.options;
        this.formed += 1;
        const group = `${model}-${daemon}-${incarnation}-${this.formed}`;
        const body: GroupsBodyOf<"form"> = {
            kind: "form",
            group,
            model,
            version,
            members: [...members],
            leader,
            holder: daemon,
        };
        this.append(
            `form ${group}`,
            body,
            ({ offset }) =>
                eventLog.emit("groupFormed", { group, model, fence: offset, members: members.map(({ host }) => host) }),
        );
    }

    /** Appends a record without waiting. An accepted one by a holder renews the lease from before it was sent. */
    private append(key: string, body: GroupsBody, onAccepted?: (decision: Decision) => void): void {
        if (this.appending.has(key)) {
            return;
        }
        this.appending.add(key);
        this.appendOnce(body, onAccepted)
            .catch((error: unknown) =>
                this.options.eventLog.emit("taskFailed", { task: "groups", kind: body.kind, error })
            )
            .finally(() => this.appending.delete(key));
    }

    private async appendOnce(body: GroupsBody, onAccepted?: (decision: Decision) => void): Promise<void> {
        const { stream, clock, metrics, eventLog } = this.options;
        const sentAt = clock.monotonic();
        const result = await stream.append(body, { timeoutMilliseconds: APPEND_TIMEOUT_MILLISECONDS });
        const decision = result.ok ? result.val.accepted ? "accepted" : "rejected" : result.val.kind;
        metrics.increment("groups.actions", 1, { kind: body.kind, decision });
        if (result.err) {
            return;
        }
        if (!result.val.accepted) {
            eventLog.emit("groupsRecordRejected", { kind: body.kind, issue: result.val.issue });
            return;
        }
        if (body.kind !== "dissolve") {
            this.lease.renewed(sentAt);
        }
        onAccepted?.(result.val);
        this.mailbox.post({ kind: "step" });
    }
}
