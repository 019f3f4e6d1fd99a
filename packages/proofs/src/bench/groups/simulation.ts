/**
 * Plays one data centre through a day with a planner, in steps from event to event. The planner and the fold are the
 * real ones; hosts and the weight store are modelled.
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

/** Time to load the weights of a replica when no more hosts load than the weight store allows. */
const LOAD_SECONDS = 90;
/** Requests in progress on a retiring group end within this time. */
const DRAIN_SECONDS = 20;
/** Hosts of a data centre that the weight store serves at its full rate. */
const STORE_HOSTS = 16;
const GRACE_SECONDS = (MEMBER_LOSS_GRACE_MILLISECONDS + CONFIRMATION_BOUND_MILLISECONDS) / 1_000;
const HOLDER = { daemon: "d", incarnation: "1" };

/** What happened in a day, summed over time. */
export interface DayResult {
    /** Wanted replicas that did not serve, in replica hours. */
    readonly downHours: number;
    /** Accelerators that were up and idle because their group could not form or serve, in accelerator hours. */
    readonly strandedHours: number;
    /** Serving groups over more than one fabric domain, in group hours. */
    readonly spanningHours: number;
}

/** What is played. */
export interface SimulationOptions {
    readonly domains: readonly (readonly string[])[];
    readonly absences: readonly Absence[];
    /** Models of the table; downtime is counted for the first. */
    readonly models: readonly RowOf<"model">[];
    readonly plan: (input: PlanInput) => readonly PlanAction[];
}

interface Host {
    readonly name: string;
    readonly domain: string;
    role?: { readonly group: string; readonly fence: number; readonly readyAt: number; };
}

/** One data centre in one day. */
export class DaySimulation {
    private state: GroupsState = groupsFold.initial();
    private offset = 0;
    private readonly hosts: readonly Host[];
    private readonly wakes = new Set<number>([0]);
    private readonly brokenSince = new Map<string, number>();
    private readonly retiringSince = new Map<string, number>();

    constructor(private readonly options: SimulationOptions) {
        this.hosts = options.domains.flatMap((names, domain) => names.map(name => ({ name, domain: `${domain}` })));
        options.absences.forEach(({ noticeAt, from, to }) => [noticeAt ?? from, from, to].forEach(at => this.wake(at)));
    }

    /** Plays the day. The initial loads count from the time at which all replicas could first serve. */
    run(): DayResult {
        const start = LOAD_SECONDS * Math.ceil(this.hosts.length / STORE_HOSTS);
        this.wake(start);
        this.settle(0);
        const totals = { downHours: 0, strandedHours: 0, spanningHours: 0 };
        for (let at = this.next(0); at < DAY_SECONDS; at = this.next(at)) {
            this.settle(at);
            const hours = (Math.min(this.next(at), DAY_SECONDS) - at) / 3_600;
            if (at >= start) {
                const now = this.measure(at);
                totals.downHours += now.down * hours;
                totals.strandedHours += now.stranded * hours;
                totals.spanningHours += now.spanning * hours;
            }
        }
        return totals;
    }

    private next(after: number): number {
        return Math.min(DAY_SECONDS, ...[...this.wakes].filter(at => at > after));
    }

    private wake(at: number): void {
        this.wakes.add(at);
    }

    /** Applies the planner's actions until it has none left at this time. */
    private settle(at: number): void {
        this.hosts.filter(host => this.isGone(host.name, at)).forEach(host => host.role = undefined);
        for (let round = 0; round < 100; round += 1) {
            this.note(at);
            const actions = this.options.plan(this.input(at));
            if (actions.length === 0) {
                return;
            }
            actions.forEach(action => this.apply(action, at));
        }
        throw new Error(`the planner does not settle at second ${at}`);
    }

    private note(at: number): void {
        Object.values(this.state.groups).forEach(group => {
            const broken = group.members.some(host => this.isGone(host, at));
            const retiring = group.members.some(host => this.isLeaving(host, at));
            ([[broken, this.brokenSince, GRACE_SECONDS], [retiring, this.retiringSince, DRAIN_SECONDS]] as const)
                .forEach(([holds, since, wait]) => {
                    if (holds && !since.has(group.group)) {
                        since.set(group.group, at);
                        this.wake(at + wait);
                    }
                    if (!holds) {
                        since.delete(group.group);
                    }
                });
        });
    }

    private input(at: number): PlanInput {
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
                report: this.isGone(host.name, at) ? undefined : this.report(host, at),
            })),
            groups: Object.values(this.state.groups).map(({ group }) => ({
                group,
                held: true,
                // The grace starts when the last confirmation has aged out.
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
            throw new Error(`the fold rejects ${JSON.stringify(body)}: ${verdict.issue.message}`);
        }
        this.state = verdict.state;
        this.offset += 1;
    }

    /** Starts a group's loads. Above the store's rate all loads that run at the same time take longer. */
    private load({ group, fence, members }: HeldGroup, at: number): void {
        const targets = this.hosts.filter(host => members.includes(host.name));
        targets.forEach(host => host.role = { group, fence, readyAt: Number.POSITIVE_INFINITY });
        const loading = this.hosts.filter(host => host.role !== undefined && host.role.readyAt > at);
        const readyAt = at + Math.ceil(LOAD_SECONDS * Math.max(1, loading.length / STORE_HOSTS));
        loading.forEach(host => host.role = { ...host.role as NonNullable<Host["role"]>, readyAt });
        this.wake(readyAt);
    }

    private measure(at: number): { down: number; stranded: number; spanning: number; } {
        const groups = Object.values(this.state.groups);
        const domains = new Map(this.hosts.map(host => [host.name, host.domain]));
        const roles = new Map(this.hosts.map(host => [host.name, host.role]));
        const whole = groups.filter(group => group.members.every(host => !this.isGone(host, at)));
        const serving = whole.filter(group =>
            !this.retiringSince.has(group.group)
            && group.members.every(host => (roles.get(host)?.readyAt ?? Number.POSITIVE_INFINITY) <= at)
        );
        const used = new Set(whole.flatMap(group => group.members));
        const stranded = this.hosts.filter(({ name }) =>
            !used.has(name) && !this.isGone(name, at) && !this.isLeaving(name, at)
        );
        const spanning = serving.filter(group => new Set(group.members.map(host => domains.get(host))).size > 1);
        const model = this.options.models[0];
        const down = Math.max(0, (model?.replicas ?? 0) - serving.filter(group => group.model === model?.name).length);
        return { down, stranded: stranded.length, spanning: spanning.length };
    }

    private isGone(host: string, at: number): boolean {
        return this.options.absences.some(absence => absence.host === host && absence.from <= at && at < absence.to);
    }

    private isLeaving(host: string, at: number): boolean {
        return this.options.absences.some(absence =>
            absence.host === host && absence.noticeAt !== undefined && absence.noticeAt <= at && at < absence.from
        );
    }
}
