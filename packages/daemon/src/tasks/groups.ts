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
import { GroupDurations } from "./groupdurations.js";
import type { HostsView } from "./hosts.js";
import { OwnLease, PeerLeases } from "./leases.js";
import { createMailbox } from "./mailbox.js";
import type { MembersView } from "./membership.js";
import { OrderSender } from "./orders.js";
import { createPlanInput, findRetiringGroups, type PlanSources, selectPlanner } from "./planinput.js";
import type { Published } from "./published.js";

/** Time between two steps of the task. */
export const GROUPS_STEP_INTERVAL_MILLISECONDS = 500;
/** Time for the requests in progress on a retiring group to end: the default deadline of a request. */
export const DRAIN_TIMEOUT_MILLISECONDS = 120_000;
/** Default number of hosts that load weights at the same time: two replicas of 8 hosts. */
export const DEFAULT_MAXIMUM_LOADS = 16;
const APPEND_TIMEOUT_MILLISECONDS = 5_000;
/** No plan is made from a fold that has read nothing from the platform for longer than this. */
const MAXIMUM_FOLD_AGE_MILLISECONDS = 5_000;

/** Options of the groups task. */
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
    /** Planner. The baseline planner is used in comparisons only. */
    readonly plan?: (input: PlanInput) => readonly PlanAction[];
}

/** The groups task. */
export class GroupsTask {
    private readonly lease = new OwnLease();
    private readonly peerLeases = new PeerLeases();
    private readonly durations = new GroupDurations();
    private readonly orders;
    private readonly mailbox;
    private readonly ownHolderKey;
    /** Keys of the appends in progress. Each kind of record for each group is appended one at a time. */
    private readonly appending = new Set<string>();
    private renewedAt = Number.NEGATIVE_INFINITY;
    private formedCount = 0;
    private isPlanningPaused = false;
    private timer: NodeJS.Timeout | undefined;
    private unsubscribe: () => void = () => undefined;

    constructor(private readonly options: GroupsOptions) {
        const { daemon, incarnation, eventLog } = options;
        this.ownHolderKey = holderKey({ daemon, incarnation });
        this.orders = new OrderSender({ ...options, lease: this.lease });
        this.mailbox = createMailbox(
            { step: () => this.step() },
            (error, kind) => eventLog.emit("taskFailed", { task: "groups", kind, error }),
        );
    }

    /** Starts the periodic steps. */
    start(): void {
        const { stream, clock } = this.options;
        this.peerLeases.update(stream.folded.current().state, clock.monotonic());
        this.unsubscribe = stream.folded.subscribe(({ state }) => {
            this.peerLeases.update(state, clock.monotonic());
            this.mailbox.post({ kind: "step" });
        });
        this.timer = setInterval(() => this.mailbox.post({ kind: "step" }), GROUPS_STEP_INTERVAL_MILLISECONDS);
    }

    /** Stops the task. Other daemons take over the groups of this daemon after its lease has expired. */
    async stop(): Promise<void> {
        clearInterval(this.timer);
        this.unsubscribe();
        await this.mailbox.close();
    }

    private step(): void {
        const now = this.options.clock.monotonic();
        const sources = this.sources(now);
        const held = Object.values(sources.state.groups).filter(group => holderKeyOf(group) === this.ownHolderKey);
        const isPlanner =
            selectPlanner(this.options.dataCentre, this.options.members.current().live) === this.options.daemon;
        this.durations.update(
            Object.values(sources.state.groups),
            sources.observations,
            findRetiringGroups(sources),
            now,
        );
        this.orders.removeUnlistedHosts(sources.hosts.hosts);
        // Without a valid lease, orders wait for the decision of a record in progress, which triggers another step.
        if (this.lease.isValid(now) || this.appending.size === 0) {
            held.forEach(group => this.orderMembers(group, sources));
        }
        if (isPlanner || held.length > 0) {
            this.renew(now);
        }
        if (!this.isStreamFresh(now)) {
            return;
        }
        if (isPlanner) {
            this.takeOver(sources.state, now);
        }
        this.plan(sources, isPlanner);
    }

    private sources(now: number): PlanSources {
        const { dataCentre, stream, hosts, observations, table, maximumLoads } = this.options;
        return {
            dataCentre,
            state: stream.folded.current().state,
            hosts: hosts.current(),
            observations: observations.current(),
            table: table.current(),
            durations: this.durations,
            holder: this.ownHolderKey,
            now,
            drainMilliseconds: DRAIN_TIMEOUT_MILLISECONDS,
            maximumLoads: maximumLoads ?? DEFAULT_MAXIMUM_LOADS,
        };
    }

    /** Returns whether the stream is read from the platform. Otherwise no group is formed or dissolved. */
    private isStreamFresh(now: number): boolean {
        const { stream, eventLog } = this.options;
        const { platformReachable, freshAt, halted } = stream.health();
        const isFresh = platformReachable && halted === undefined && now - freshAt <= MAXIMUM_FOLD_AGE_MILLISECONDS;
        if (!isFresh && !this.isPlanningPaused) {
            eventLog.emit("planningPaused", { stream: stream.name, halted });
        }
        this.isPlanningPaused = !isFresh;
        return isFresh;
    }

    /** Orders members that report another role to take the role of their group. */
    private orderMembers(group: HeldGroup, { hosts, observations, now }: PlanSources): void {
        const listed = group.members.flatMap(host => hosts.hosts.get(host) ?? []);
        if (listed.length < group.members.length) {
            return;
        }
        const members = listed.map(({ host, url }) => ({ host, url }));
        listed.forEach(target => {
            const observation = observations.get(target.host);
            const { group: role, fence } = observation?.report ?? {};
            const confirmed = role === group.group && fence === group.fence;
            // An engine that reports a higher fencing token has executed orders that this daemon does not know yet.
            if (observation === undefined || confirmed || (fence ?? 0) > group.fence || now < observation.observedAt) {
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
            this.orders.request(target, order, observation);
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
            .filter(group => holderKeyOf(group) !== this.ownHolderKey && this.peerLeases.hasExpired(state, group, now))
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

    private plan(sources: PlanSources, isPlanner: boolean): void {
        const plan = this.options.plan ?? planGroups;
        const input = createPlanInput(sources);
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
            else if (action.kind === "clear" && isPlanner) {
                this.clear(action, sources);
            }
        });
        const forming = [...this.appending].some(key => key.startsWith("form "));
        if (isPlanner && !forming) {
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
        this.formedCount += 1;
        const group = `${model}-${daemon}-${incarnation}-${this.formedCount}`;
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

    /**
     * Appends a record in the background. An accepted record, unless it dissolves a group, renews the lease from the time
     * before it was sent.
     */
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
            this.lease.recordRenewal(sentAt);
        }
        onAccepted?.(result.val);
        this.mailbox.post({ kind: "step" });
    }
}
