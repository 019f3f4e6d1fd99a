/** A domain with simulated engines whose planner is that of the daemon, on a simulated clock. */
import {
    createDemandMeter,
    type EngineOrder,
    type EngineProfile,
    type GroupMembership,
    type Target,
} from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import type { EngineReport, OrderGuard, OrderResult } from "../../ports/enginecontrol.js";
import { createRelayState } from "../../relay/state.js";
import type { RelayState } from "../../relay/statetypes.js";
import { type EnginePlanner, startEnginePlanner } from "../engineplanner.js";

const JOIN_MILLISECONDS = 200;
const OPEN_MILLISECONDS = 100;

const profileOf = (size: number): EngineProfile =>
    ({
        models: [{ name: "m", size, share: 1, pace: 1, loadMilliseconds: 1_000, warmMilliseconds: 100 }],
        loadsPerSecond: 1,
    }) as unknown as EngineProfile;

/** Returns the entry of a host as its write with this number states it. */
export const entryOf = (id: string, heartbeat: number, membership?: GroupMembership, startedAt?: number): Target => ({
    id,
    service: "pool",
    address: `10.0.0.${id.charCodeAt(0)}:80`,
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 1,
    startedAt,
    domain: "d",
    model: membership === undefined ? undefined : "m",
    stagedModels: ["m"],
    busy: false,
    entryNumber: heartbeat,
    membership,
});

/** Engine that takes an order only with the right number of orders, and writes its entry at each change. */
export class EngineStub {
    violation: string | undefined;
    membership: GroupMembership | undefined;
    /** Id of the head of the present group. */
    head: string | undefined;
    sequence = 0;
    heartbeat = 1;
    /** Whether orders and requests for reports do not arrive. */
    isCutOff = false;
    /** Number of requests for reports that do not arrive. */
    reportsToMiss = 0;
    /** Kinds of the orders that changed something. */
    readonly counted: EngineOrder["kind"][] = [];
    private readonly reports: { readonly at: number; readonly report: EngineReport; }[] = [];

    constructor(
        readonly id: string,
        private readonly startedAt: number | undefined,
        private readonly peer: (id: string) => EngineStub | undefined,
        private readonly write: (entry: Target) => void,
        /** Age of the values of a report. */
        private readonly reportAgeMilliseconds = 0,
    ) {
        this.keepReport();
    }

    entry(): Target {
        return entryOf(this.id, this.heartbeat, this.membership, this.startedAt);
    }

    report(): EngineReport | undefined {
        this.reportsToMiss -= 1;
        if (this.isCutOff || this.reportsToMiss >= 0) {
            return undefined;
        }
        const at = performance.now() - this.reportAgeMilliseconds;
        return (this.reports.findLast(report => report.at <= at) ?? this.reports[0])?.report;
    }

    /** Sets the membership as an earlier owner of the domain left it. */
    set(membership: GroupMembership | undefined, head: string, sequence: number): void {
        this.membership = membership;
        this.head = head;
        this.sequence = sequence;
        this.heartbeat = 20;
        this.keepReport();
    }

    leave(): void {
        this.sequence += 1;
        this.change(undefined);
    }

    order(order: EngineOrder, guard: OrderGuard): OrderResult {
        const { sequence } = this;
        const result = this.carryOut(order, guard);
        if (this.sequence > sequence) {
            this.counted.push(order.kind);
        }
        return result;
    }

    private carryOut(order: EngineOrder, { expectedSequence }: OrderGuard): OrderResult {
        if (this.isCutOff) {
            return "unanswered";
        }
        if (expectedSequence !== this.sequence) {
            return "conflict";
        }
        const { membership } = this;
        if (order.kind === "join") {
            const head = this.peer(this.head ?? "")?.membership;
            if (membership !== undefined && head?.group === membership.group && head.state === "open") {
                this.violation = `${this.id} joins ${order.group} while ${this.head}, head of ${head.group}, is open`;
            }
            this.sequence += 1;
            this.head = order.members[0];
            const { group, epoch, members } = order;
            const joined = { group, epoch, rank: members.indexOf(this.id), state: "joining" } as const;
            this.change(joined);
            this.changeLater(JOIN_MILLISECONDS, joined, "ready");
            return "accepted";
        }
        if (order.kind === "stage" || membership?.group !== order.group) {
            return "already-holds";
        }
        if (order.kind === "leave") {
            this.leave();
            return "already-holds";
        }
        this.sequence += 1;
        this.keepReport();
        this.changeLater(OPEN_MILLISECONDS, membership, order.kind === "open" ? "open" : "ready");
        return "accepted";
    }

    private change(membership: GroupMembership | undefined): void {
        this.membership = membership;
        this.heartbeat += 1;
        this.keepReport();
        this.write(this.entry());
    }

    private keepReport(): void {
        const { startedAt, stagedModels, model, busy, membership } = this.entry();
        const engine = { startedAt, stagedModels, model, busy, membership };
        const report = { ...engine, orderSequence: this.sequence, waiting: 0, running: 0, pace: 1 };
        this.reports.push({ at: performance.now(), report });
    }

    private changeLater(milliseconds: number, { group }: GroupMembership, state: GroupMembership["state"]): void {
        setTimeout(() => {
            if (this.membership?.group === group) {
                this.change({ ...this.membership, state });
            }
        }, milliseconds);
    }
}

/** Options of {@link PlannedDomain}. */
export interface PlannedDomainOptions {
    readonly ids: readonly string[];
    /** Start that all hosts state, if any. */
    readonly startedAt?: number;
    readonly reportAgeMilliseconds?: number;
}

/** A domain that one daemon plans. */
export class PlannedDomain {
    readonly clock: FakeClock = install({ now: 10_000, toFake: ["setTimeout", "clearTimeout", "performance"] });
    readonly state: RelayState = createRelayState();
    /** Fencing token under which the daemon owns the domain, if it does. */
    fencingToken: number | undefined = 2;
    /** Whether orders do not arrive. */
    holdsOrders = false;
    private readonly engines: ReadonlyMap<string, EngineStub>;
    private planner: EnginePlanner | undefined;

    constructor({ ids, startedAt, reportAgeMilliseconds }: PlannedDomainOptions) {
        const peer = (id: string): EngineStub | undefined => this.engines.get(id);
        const write = (entry: Target): void => this.state.applyTargets([{ key: entry.id, value: entry }]);
        this.engines = new Map(
            ids.map(id => [id, new EngineStub(id, startedAt, peer, write, reportAgeMilliseconds)]),
        );
    }

    engine(id: string): EngineStub {
        return this.engines.get(id) as EngineStub;
    }

    violations(): string[] {
        return [...this.engines.values()].flatMap(({ violation }) => violation ?? []);
    }

    /** Starts the planner, which has read the given entries; without them, the present ones. */
    start(size: number, entries = [...this.engines.values()].map(engine => engine.entry())): void {
        this.state.applyConfiguration({
            version: 1,
            routes: [],
            services: [{ name: "pool", healthPath: "/", maximumConnections: 9, engine: profileOf(size) }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
        this.state.replaceTargets(entries);
        this.planner = startEnginePlanner({
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            log: { emit: () => undefined },
            state: this.state,
            lease: {
                current: () =>
                    this.fencingToken === undefined ? undefined : { fencingToken: this.fencingToken, partitions: [0] },
                confirmedSince: () => true,
                invalidate: () => undefined,
                stop: () => Promise.resolve(),
            },
            partitionCount: 1,
            engines: {
                order: (target, order, guard) =>
                    Promise.resolve(this.holdsOrders ? "unanswered" : this.engine(target.id).order(order, guard)),
                report: target => Promise.resolve(this.engine(target.id).report()),
            },
            trafficSeen: () => true,
            demandOf: () => createDemandMeter(),
            isEvacuated: () => false,
            registryDelayMilliseconds: () => 0,
            onMembership: reported => this.state.applyMembership(reported),
        });
    }

    /** Reports that requests to a head stand still. */
    suspect(head: string): void {
        this.planner?.suspect(head);
    }

    stop(): void {
        this.planner?.stop();
        this.clock.uninstall();
    }
}
