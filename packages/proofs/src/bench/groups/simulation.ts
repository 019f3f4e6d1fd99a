/**
 * Discrete-event simulation of one data centre over one day. It runs the production planner and fold; hosts and the
 * weight store are modelled.
 */
import {
    CONFIRMATION_BOUND_MILLISECONDS,
    type GroupsBody,
    groupsFold,
    type GroupsState,
    type HeldGroup,
    MEMBER_LOSS_GRACE_MILLISECONDS,
    type PlanAction,
    type PlanInput,
    type RowOf,
} from "@damaskvale/core";
import { type Absence, DAY_SECONDS } from "./day.js";

/** Time to load the weights of a replica while the weight store is not over its capacity. */
const LOAD_SECONDS = 90;
/** Time within which the requests in progress on a retiring group end. */
const DRAIN_SECONDS = 20;
/** Number of hosts of a data centre that the weight store serves concurrently at full rate. */
const STORE_HOSTS = 16;
const GRACE_SECONDS = (MEMBER_LOSS_GRACE_MILLISECONDS + CONFIRMATION_BOUND_MILLISECONDS) / 1_000;
const HOLDER = { daemon: "d", incarnation: "1" };

/** Totals of one simulated day. */
export interface DayResult {
    /** Requested replicas that were not serving, in replica hours. */
    readonly downHours: number;
    /** Accelerators that were available but idle because no group could form on them, in accelerator hours. */
    readonly strandedHours: number;
    /** Serving groups that span more than one fabric domain, in group hours. */
    readonly spanningHours: number;
}

/** Input of a simulation. */
export interface SimulationOptions {
    readonly domains: readonly (readonly string[])[];
    readonly absences: readonly Absence[];
    /** Models of the table; downtime is measured for the first one only. */
    readonly models: readonly RowOf<"model">[];
    readonly plan: (input: PlanInput) => readonly PlanAction[];
}

interface Host {
    readonly name: string;
    readonly domain: string;
    role?: { readonly group: string; readonly fence: number; readonly readyAt: number; };
}

/** Simulation of one data centre over one day. */
export class DaySimulation {
    private state: GroupsState = groupsFold.initial();
    private offset = 0;
    private readonly hosts: readonly Host[];
    private readonly eventTimes = new Set<number>([0]);
    private readonly brokenSince = new Map<string, number>();
    private readonly retiringSince = new Map<string, number>();

    constructor(private readonly options: SimulationOptions) {
        this.hosts = options.domains.flatMap((names, domain) => names.map(name => ({ name, domain: `${domain}` })));
        options.absences.forEach(({ noticeAt, from, to }) =>
            [noticeAt ?? from, from, to].forEach(at => this.scheduleEvent(at))
        );
    }

    /** Runs the simulation. Totals are measured from the time at which all initial loads could have completed. */
    run(): DayResult {
        const start = LOAD_SECONDS * Math.ceil(this.hosts.length / STORE_HOSTS);
        this.scheduleEvent(start);
        this.planUntilStable(0);
        const totals = { downHours: 0, strandedHours: 0, spanningHours: 0 };
        for (let at = this.nextEventAfter(0); at < DAY_SECONDS; at = this.nextEventAfter(at)) {
            this.planUntilStable(at);
            const hours = (Math.min(this.nextEventAfter(at), DAY_SECONDS) - at) / 3_600;
            if (at >= start) {
                const now = this.measure(at);
                totals.downHours += now.down * hours;
                totals.strandedHours += now.stranded * hours;
                totals.spanningHours += now.spanning * hours;
            }
        }
        return totals;
    }

    private nextEventAfter(after: number): number {
        return Math.min(DAY_SECONDS, ...[...this.eventTimes].filter(at => at > after));
    }

    private scheduleEvent(at: number): void {
        this.eventTimes.add(at);
    }

    /** Applies the actions of the planner until it returns none. Throws if it does not stabilize in 100 rounds. */
    private planUntilStable(at: number): void {
        this.hosts.filter(host => this.isAbsent(host.name, at)).forEach(host => host.role = undefined);
        for (let round = 0; round < 100; round += 1) {
            this.trackGroupConditions(at);
            const actions = this.options.plan(this.createPlanInput(at));
            if (actions.length === 0) {
                return;
            }
            actions.forEach(action => this.apply(action, at));
        }
        throw new Error(`The planner still returns actions after all rounds at second ${at}.`);
    }

    private trackGroupConditions(at: number): void {
        Object.values(this.state.groups).forEach(group => {
            const broken = group.members.some(host => this.isAbsent(host, at));
            const retiring = group.members.some(host => this.isLeaving(host, at));
            ([[broken, this.brokenSince, GRACE_SECONDS], [retiring, this.retiringSince, DRAIN_SECONDS]] as const)
                .forEach(([active, since, wait]) => {
                    if (active && !since.has(group.group)) {
                        since.set(group.group, at);
                        this.scheduleEvent(at + wait);
                    }
                    if (!active) {
                        since.delete(group.group);
                    }
                });
        });
    }

    private createPlanInput(at: number): PlanInput {
        const since = (map: ReadonlyMap<string, number>, group: string) => (at - (map.get(group) ?? at)) * 1_000;
        return {
            dataCentre: "dc",
            state: this.state,
            models: this.options.models,
            hosts: this.hosts.map(host => ({
                listed: {
                    host: host.name,
                    dataCentre: "dc",
                    fabricDomain: host.domain,
                    url: "http://127.0.0.1",
                    state: this.isLeaving(host.name, at) ? "leaving" : "live",
                    accelerators: 1,
                },
                draining: false,
                report: this.isAbsent(host.name, at) ? undefined : this.report(host, at),
            })),
            groups: Object.values(this.state.groups).map(({ group }) => ({
                group,
                held: true,
                // The grace period starts when the last confirmation expires.
                missingMilliseconds: Math.max(0, since(this.brokenSince, group) - CONFIRMATION_BOUND_MILLISECONDS),
                retiringMilliseconds: since(this.retiringSince, group),
            })),
            graceMilliseconds: MEMBER_LOSS_GRACE_MILLISECONDS,
            drainMilliseconds: DRAIN_SECONDS * 1_000,
            maximumLoads: STORE_HOSTS,
        };
    }

    private report({ name, role }: Host, at: number): NonNullable<PlanInput["hosts"][number]["report"]> {
        const retiring = role !== undefined && this.retiringSince.has(role.group);
        const load = { running: retiring ? 1 : 0, queued: 0, ageMilliseconds: 0 };
        if (role === undefined) {
            return { host: name, incarnation: "1", state: "idle", load };
        }
        const { group, fence, readyAt } = role;
        return { host: name, incarnation: "1", group, fence, state: at >= readyAt ? "ready" : "loading", load };
    }

    private apply(action: PlanAction, at: number): void {
        if (action.kind === "clear") {
            this.hosts.filter(host => host.name === action.host).forEach(host => host.role = undefined);
            return;
        }
        if (action.kind === "dissolve") {
            const { group, fence, reason } = action;
            this.append({ kind: "dissolve", group, fence, reason }, at);
            return;
        }
        const { model, version, members, leader } = action;
        const group = `g${this.offset}`;
        this.append({ kind: "form", group, model, version, members: [...members], leader, holder: "d" }, at);
        this.load(this.state.groups[group] as HeldGroup, at);
    }

    private append(body: GroupsBody, at: number): void {
        const context = { offset: this.offset, time: at * 1_000, id: `${this.offset}`, author: HOLDER };
        const verdict = groupsFold.apply(this.state, body, context);
        if (verdict.kind === "rejected") {
            throw new Error(`The fold rejected the record ${JSON.stringify(body)}: ${verdict.issue.message}`);
        }
        this.state = verdict.state;
        this.offset += 1;
    }

    /** Starts the loads of a group. Above the capacity of the weight store, all concurrent loads slow down equally. */
    private load({ group, fence, members }: HeldGroup, at: number): void {
        const targets = this.hosts.filter(host => members.includes(host.name));
        targets.forEach(host => host.role = { group, fence, readyAt: Number.POSITIVE_INFINITY });
        const loading = this.hosts.filter(host => host.role !== undefined && host.role.readyAt > at);
        const readyAt = at + Math.ceil(LOAD_SECONDS * Math.max(1, loading.length / STORE_HOSTS));
        loading.forEach(host => host.role = { ...host.role as NonNullable<Host["role"]>, readyAt });
        this.scheduleEvent(readyAt);
    }

    private measure(at: number): { down: number; stranded: number; spanning: number; } {
        const groups = Object.values(this.state.groups);
        const domains = new Map(this.hosts.map(host => [host.name, host.domain]));
        const roles = new Map(this.hosts.map(host => [host.name, host.role]));
        const intact = groups.filter(group => group.members.every(host => !this.isAbsent(host, at)));
        const serving = intact.filter(group =>
            !this.retiringSince.has(group.group)
            && group.members.every(host => (roles.get(host)?.readyAt ?? Number.POSITIVE_INFINITY) <= at)
        );
        const used = new Set(intact.flatMap(group => group.members));
        const stranded = this.hosts.filter(({ name }) =>
            !used.has(name) && !this.isAbsent(name, at) && !this.isLeaving(name, at)
        );
        const spanning = serving.filter(group => new Set(group.members.map(host => domains.get(host))).size > 1);
        const model = this.options.models[0];
        const down = Math.max(0, (model?.replicas ?? 0) - serving.filter(group => group.model === model?.name).length);
        return { down, stranded: stranded.length, spanning: spanning.length };
    }

    private isAbsent(host: string, at: number): boolean {
        return this.options.absences.some(absence => absence.host === host && absence.from <= at && at < absence.to);
    }

    private isLeaving(host: string, at: number): boolean {
        return this.options.absences.some(absence =>
            absence.host === host && absence.noticeAt !== undefined && absence.noticeAt <= at && at < absence.from
        );
    }
}
