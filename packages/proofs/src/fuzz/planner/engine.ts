/** Simulated engine of a host, which takes orders as docs of the users' platform describe them. */
import type { EngineOrder, GroupMembership, ModelProfile } from "@damaskvale/core";
import type { EngineReport, OrderGuard, OrderResult } from "@damaskvale/daemon";
import type { EngineStatement, Random } from "./types.js";

/** Group of an engine, as its join order described it. */
export interface EngineGroupState extends Omit<GroupMembership, "state"> {
    readonly model: string;
    readonly members: readonly string[];
    state: GroupMembership["state"];
}

/** Surroundings of an engine. */
export interface EngineParts {
    readonly id: string;
    readonly address: string;
    readonly startedAt?: number;
    readonly staged: readonly string[];
    readonly models: readonly ModelProfile[];
    readonly openMilliseconds: number;
    readonly stallMilliseconds: number;
    /** Result of an order to leave a group in which the engine is not; the platform's pages leave it open. */
    readonly resultOfOtherLeave: OrderResult;
    readonly now: () => number;
    readonly random: Random;
    readonly peer: (id: string) => SimulatedEngine | undefined;
    readonly onChange: (engine: SimulatedEngine) => void;
    readonly onViolation: (text: string) => void;
    /** Called when an order cuts the requests of a group that makes progress. */
    readonly onCut: (text: string) => void;
    readonly trace: (line: string) => void;
}

interface Snapshot {
    readonly at: number;
    readonly report: EngineReport;
}

const REJOIN_MILLISECONDS = 200;
/** Time for which the requests of a closing group run on. */
const CLOSING_MILLISECONDS = { lowest: 200, highest: 3_000 } as const;
/** Age of the values of a report when the engine sends it. */
const REPORT_AGE_MILLISECONDS = { lowest: 180, highest: 320 } as const;
const SNAPSHOT_RETENTION_MILLISECONDS = 400;

/** One process of an engine. */
export class SimulatedEngine {
    group: EngineGroupState | undefined;
    isAlive = true;
    draining = false;
    private sequence = 0;
    private highestToken = 0;
    private highestEpoch = 0;
    private lastModel: string | undefined;
    private loading: string | undefined;
    private staged: readonly string[];
    private stalledSince: number | undefined;
    private snapshots: Snapshot[] = [];
    /** Groups, identified with their members, for which this engine has been ready. */
    private readonly readyFor = new Set<string>();

    constructor(private readonly parts: EngineParts) {
        this.staged = parts.staged;
        this.keepSnapshot();
    }

    get id(): string {
        return this.parts.id;
    }

    describe(): EngineStatement {
        const { id, address, startedAt } = this.parts;
        return {
            id,
            startedAt,
            address,
            draining: this.draining,
            model: this.group?.model,
            stagedModels: this.staged,
            busy: this.loading !== undefined,
            membership: membershipOf(this.group),
        };
    }

    /** Returns a report, whose values are some hundred milliseconds old and belong together. */
    report(): EngineReport | undefined {
        const { lowest, highest } = REPORT_AGE_MILLISECONDS;
        const at = this.parts.now() - this.parts.random.between(lowest, highest);
        return (this.snapshots.findLast(snapshot => snapshot.at <= at) ?? this.snapshots[0])?.report;
    }

    /** Ends the process for good. */
    kill(): void {
        this.isAlive = false;
        this.group = undefined;
    }

    drain(): void {
        this.draining = true;
        this.changed();
    }

    order(order: EngineOrder, guard: OrderGuard): OrderResult {
        const result = this.decide(order, guard);
        this.parts.trace(`${this.id}: ${JSON.stringify({ ...order, host: undefined, ...guard, result })}`);
        return result;
    }

    /** Lets a head whose group lacks a member stand still, and break after a time. */
    checkGroup(): void {
        const { now, stallMilliseconds } = this.parts;
        const { group } = this;
        if (group === undefined || !isServing(group) || this.isComplete(group)) {
            this.stalledSince = undefined;
            return;
        }
        this.stalledSince ??= now();
        if (now() - this.stalledSince >= stallMilliseconds) {
            group.state = "broken";
            this.changed();
        }
    }

    /** Whether this engine is the head of a group that is open and lacks a member. */
    get isStalled(): boolean {
        return this.stalledSince !== undefined;
    }

    /** Returns whether requests to this engine have made no progress for a time, as when it has ended. */
    standsStillFor(milliseconds: number): boolean {
        return !this.isAlive
            || (this.stalledSince !== undefined && this.parts.now() - this.stalledSince >= milliseconds);
    }

    isInGroup(name: string, epoch: number): boolean {
        return this.isAlive && this.group?.group === name && this.group.epoch === epoch;
    }

    hasBeenReadyFor(group: EngineGroupState): boolean {
        return this.readyFor.has(identityOf(group));
    }

    private decide(order: EngineOrder, { fencingToken, expectedSequence }: OrderGuard): OrderResult {
        if (fencingToken < this.highestToken) {
            return "outdated";
        }
        if (expectedSequence !== this.sequence) {
            return "conflict";
        }
        this.highestToken = fencingToken;
        const handlers: {
            readonly [Kind in EngineOrder["kind"]]: (given: Extract<EngineOrder, { kind: Kind; }>) => OrderResult;
        } = {
            join: given => this.join(given),
            open: ({ group, epoch }) => this.open(group, epoch),
            close: ({ group, epoch }) => this.close(group, epoch),
            leave: ({ group, epoch }) => this.leave(group, epoch),
            stage: ({ model }) => this.stage(model),
        };
        return (handlers[order.kind] as (given: EngineOrder) => OrderResult)(order);
    }

    private join({ group, epoch, model, members }: Extract<EngineOrder, { kind: "join"; }>): OrderResult {
        if (epoch < this.highestEpoch) {
            return "outdated";
        }
        if (this.isInGroup(group, epoch)) {
            return this.group?.members.join() === members.join() ? "already-holds" : "outdated";
        }
        this.checkHeadOfGroup(group);
        this.highestEpoch = epoch;
        const joined: EngineGroupState = {
            group,
            epoch,
            model,
            members,
            rank: members.indexOf(this.id),
            state: "joining",
        };
        const milliseconds = this.joinMilliseconds(model);
        this.group = joined;
        this.begin();
        this.later(milliseconds, () => {
            if (this.group === joined) {
                joined.state = "ready";
                this.lastModel = model;
                this.staged = [model];
                this.readyFor.add(identityOf(joined));
                this.changed();
            }
        });
        return "accepted";
    }

    private joinMilliseconds(model: string): number {
        const profile = this.parts.models.find(({ name }) => name === model);
        if (this.lastModel === model) {
            return REJOIN_MILLISECONDS;
        }
        return (this.staged.includes(model) ? profile?.warmMilliseconds : profile?.loadMilliseconds) ?? 0;
    }

    /** Rule TWO of the users' platform. */
    private checkHeadOfGroup(next: string): void {
        const { group, id } = this;
        const head = group === undefined ? undefined : this.parts.peer(group.members[0] ?? "");
        if (group !== undefined && head?.isInGroup(group.group, group.epoch) === true && isServing(head.group)) {
            this.parts.onViolation(
                `TWO: ${id} takes a join of ${next} while ${head.id}, head of ${group.group}, is ${head.group?.state}`,
            );
        }
    }

    private open(name: string, epoch: number): OrderResult {
        const { group } = this;
        if (group === undefined || !this.isInGroup(name, epoch) || group.rank !== 0) {
            return "conflict";
        }
        if (group.state === "open") {
            return "already-holds";
        }
        if (group.state !== "ready") {
            return "conflict";
        }
        this.begin();
        this.later(this.parts.openMilliseconds, () => {
            if (this.group === group && group.state === "ready") {
                group.state = "open";
                this.checkMembers(group);
                this.changed();
            }
        });
        return "accepted";
    }

    /** Rule PARTIAL of the users' platform: each member has been ready under the name, the epoch and the list. */
    private checkMembers(group: EngineGroupState): void {
        const { models, onViolation, peer } = this.parts;
        const size = models.find(({ name }) => name === group.model)?.size;
        const missing = group.members.filter(id => peer(id)?.hasBeenReadyFor(group) !== true);
        if (group.members.length !== size || missing.length > 0) {
            onViolation(`PARTIAL: ${this.id} serves ${group.group} although ${missing.join()} was never ready in it`);
        }
    }

    private close(name: string, epoch: number): OrderResult {
        const { group } = this;
        if (group === undefined || !this.isInGroup(name, epoch) || group.state !== "open") {
            return "conflict";
        }
        group.state = "closing";
        this.begin();
        const { lowest, highest } = CLOSING_MILLISECONDS;
        this.later(this.parts.random.between(lowest, highest), () => {
            if (this.group === group && group.state === "closing") {
                group.state = "ready";
                this.changed();
            }
        });
        return "accepted";
    }

    private leave(name: string, epoch: number): OrderResult {
        if (!this.isInGroup(name, epoch)) {
            return this.parts.resultOfOtherLeave;
        }
        this.checkRequests();
        this.group = undefined;
        this.begin();
        return "already-holds";
    }

    /** Rule LOST of the users' platform: what runs in a group that makes progress is not cut. */
    private checkRequests(): void {
        const head = this.parts.peer(this.group?.members[0] ?? "");
        const group = head?.group;
        if (group === undefined || group.group !== this.group?.group || !isServing(group) || head?.isAlive !== true) {
            return;
        }
        if (this.isComplete(group)) {
            this.parts.onCut(`LOST: ${this.id} leaves ${group.group} while its head ${head.id} is ${group.state}`);
        }
    }

    private stage(model: string): OrderResult {
        if (this.staged.includes(model)) {
            return "already-holds";
        }
        if (this.loading !== undefined) {
            return this.loading === model ? "accepted" : "conflict";
        }
        this.loading = model;
        this.begin();
        this.later(this.parts.models.find(({ name }) => name === model)?.loadMilliseconds ?? 0, () => {
            this.loading = undefined;
            this.staged = [model];
            this.changed();
        });
        return "accepted";
    }

    private isComplete({ group, epoch, members }: EngineGroupState): boolean {
        return members.every(id => this.parts.peer(id)?.isInGroup(group, epoch) === true);
    }

    private begin(): void {
        this.sequence += 1;
        this.changed();
    }

    private changed(): void {
        this.keepSnapshot();
        this.parts.onChange(this);
    }

    private keepSnapshot(): void {
        const at = this.parts.now();
        const { startedAt, stagedModels, model, busy, membership } = this.describe();
        const report: EngineReport = {
            ...{ startedAt, stagedModels, model, busy, membership },
            orderSequence: this.sequence,
            waiting: 0,
            running: 0,
            pace: 1,
        };
        const oldest = this.snapshots.findLastIndex(snapshot => snapshot.at < at - SNAPSHOT_RETENTION_MILLISECONDS);
        this.snapshots = [...this.snapshots.slice(Math.max(0, oldest)), { at, report }];
    }

    private later(milliseconds: number, action: () => void): void {
        setTimeout(() => {
            if (this.isAlive) {
                action();
            }
        }, milliseconds);
    }
}

function membershipOf(group: EngineGroupState | undefined): GroupMembership | undefined {
    return group === undefined
        ? undefined
        : { group: group.group, epoch: group.epoch, rank: group.rank, state: group.state };
}

function identityOf({ group, epoch, members }: EngineGroupState): string {
    return JSON.stringify([group, epoch, members]);
}

function isServing(group: EngineGroupState | undefined): boolean {
    return group?.state === "open" || group?.state === "closing";
}
