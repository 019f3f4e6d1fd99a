/** Simulated fleet of one domain: engines, the registry, and two daemons that own the domain in turn. */
import type { EngineProfile } from "@damaskvale/core";
import type { EngineControl, OrderResult, ReportedMembership } from "@damaskvale/daemon";
import { PlannerDaemon, READ_INTERVAL_MILLISECONDS } from "./daemon.js";
import { SimulatedEngine } from "./engine.js";
import { EntryLog, SERVICE } from "./registry.js";
import type { EngineEntry, Fault, FaultKind, Random } from "./types.js";

/** Options of a world. */
export interface WorldOptions {
    readonly hosts: number;
    /** Whether entries and reports state the start of their process. */
    readonly statesStart: boolean;
    readonly resultOfOtherLeave: OrderResult;
    readonly faults: readonly Fault[];
    readonly now: () => number;
    readonly random: Random;
    readonly trace: (line: string) => void;
}

/** Process of a host with its writes to the registry. */
interface HostProcess {
    readonly engine: SimulatedEngine;
    readonly index: number;
    heartbeat: number;
    writtenAt: number;
    /** First write that was held up while the host was cut off from the store. */
    heldEntry: EngineEntry | undefined;
}

const DAEMONS = 2;
const HEARTBEAT_MILLISECONDS = 1_200;
const WRITE_MILLISECONDS = 30;
const CALL_MILLISECONDS = { lowest: 5, highest: 20 } as const;
const ORDER_TIMEOUT_MILLISECONDS = 700;
const REPORT_TIMEOUT_MILLISECONDS = 300;
const MESSAGE_MILLISECONDS = 40;
const REQUEST_INTERVAL_MILLISECONDS = 500;
/** The store carries out a call that it did not answer this much later. */
const LATE_WRITE_MILLISECONDS = { lowest: 1_000, highest: 6_000 } as const;
const LATE_READ_MILLISECONDS = { lowest: 1_000, highest: 6_000 } as const;
/** Spreads the ages of late reads over the subjects of disturbances. */
const LAG_STEP_MILLISECONDS = 997;
const LATE_ORDER_MILLISECONDS = { lowest: 2_000, highest: 12_000 } as const;
const LATE_MESSAGE_MILLISECONDS = { lowest: 500, highest: 4_000 } as const;
const OVERLAP_MILLISECONDS = { lowest: 200, highest: 1_500 } as const;
const HANDOVER_GAP_MILLISECONDS = { lowest: 0, highest: 300 } as const;
const RESTART_MILLISECONDS = { lowest: 1_000, highest: 3_000 } as const;
const DRAIN_MILLISECONDS = 8_000;
const TOKEN_STEP = 1_000;
const LATE_WRITE_PROBABILITY = 0.2;
const LOSS_PROBABILITY = 0.4;
/** Disturbances by which a daemon gets no answers of a host that runs. */
const UNREACHING_FAULTS: ReadonlySet<FaultKind> = new Set(["cutFromDaemons", "lostReports"]);
const STALL_MILLISECONDS = 3_000;
const LOAD_MILLISECONDS = 4_000;

/** Last time after the end of all faults at which something of them may still arrive. */
export const LAST_EFFECT_MILLISECONDS = LATE_ORDER_MILLISECONDS.highest + ORDER_TIMEOUT_MILLISECONDS;
/**
 * Time until groups serve again: heads stand still and break, entries of lost hosts expire and are given up, weights are
 * loaded twice as slowly as stated, and members join and open.
 */
export const RECOVERY_MILLISECONDS = STALL_MILLISECONDS + 3_600 + 2_200 + 2 * LOAD_MILLISECONDS + 2_500 + 2_000;

/** Profile of the engines. */
export const profile = {
    models: [
        { name: "large", size: 3, share: 0.6, pace: 1, loadMilliseconds: LOAD_MILLISECONDS, warmMilliseconds: 1_000 },
        { name: "small", size: 2, share: 0.4, pace: 1, loadMilliseconds: LOAD_MILLISECONDS, warmMilliseconds: 600 },
    ],
    slots: 18,
    loadsPerSecond: 2,
    openMilliseconds: 300,
} as unknown as EngineProfile;

/** Fleet of one scenario. */
export class PlannerWorld {
    readonly violations: string[] = [];
    private readonly processes = new Map<string, HostProcess>();
    private readonly entries: EntryLog;
    private readonly daemons: readonly PlannerDaemon[];
    private owner = 0;
    private token = TOKEN_STEP;
    private generation = 0;
    private readonly startedAt: number;
    /** Time of the last message between daemons, by receiver, since messages stay in order. */
    private readonly messageAt: number[] = Array.from({ length: DAEMONS }, () => 0);
    private readonly begun = new Set<Fault>();

    constructor(private readonly options: WorldOptions) {
        const { now, trace } = options;
        this.startedAt = now();
        this.entries = new EntryLog(now);
        this.daemons = this.messageAt.map((...[, index]) =>
            new PlannerDaemon({
                engine: profile,
                entries: this.entries,
                engines: this.engineControl(),
                now,
                broadcast: reported => this.broadcast(index, reported),
                trace: line => this.trace(`d${index} ${line}`),
            })
        );
        Array.from({ length: options.hosts }, (...[, index]) => this.startHost(index, this.initialWeights(index)));
        this.assign(0, this.token);
        trace(JSON.stringify({ ...options, faults: options.faults }));
    }

    /** Time since the start of the world. */
    get elapsed(): number {
        return this.options.now() - this.startedAt;
    }

    /** Does what is due; called after each step of the simulated time. */
    step(): void {
        this.options.faults.filter(fault => fault.at <= this.elapsed && !this.begun.has(fault)).forEach(fault => {
            this.begun.add(fault);
            this.begin(fault);
        });
        this.entries.expire();
        this.processes.forEach(process => {
            process.engine.checkGroup();
            if (process.engine.isAlive && this.options.now() - process.writtenAt >= HEARTBEAT_MILLISECONDS) {
                this.write(process);
            }
            if (process.heldEntry !== undefined && !this.isActive("cutFromStore", process.index, this.options.hosts)) {
                this.entries.write(process.engine.id, process.heldEntry);
                process.heldEntry = undefined;
            }
        });
        this.daemons.forEach((daemon, index) => this.stepDaemon(daemon, index));
    }

    /** Returns the models of which no group serves. */
    missingModels(): readonly string[] {
        const serving = new Set(this.servingHeads().map(({ group }) => group?.model));
        return profile.models.map(({ name }) => name).filter(name => !serving.has(name));
    }

    /** Returns for each daemon the serving heads to which it sends no requests. */
    hiddenHeads(): readonly (readonly string[])[] {
        return this.daemons.map(({ state }) => {
            const groups = profile.models.flatMap(({ name }) => state.servingGroups(SERVICE, name));
            const shown = new Set(groups.map(({ head }) => head.id));
            return this.servingHeads().map(({ id }) => id).filter(id => !shown.has(id));
        });
    }

    private servingHeads(): SimulatedEngine[] {
        return [...this.processes.values()].map(({ engine }) => engine)
            .filter(({ group, isStalled }) => group?.state === "open" && !isStalled);
    }

    /** Returns the state of all engines, for messages. */
    describe(): string {
        return [...this.processes.values()].filter(({ engine }) => engine.isAlive)
            .map(({ engine: { id, group } }) => `${id}=${group === undefined ? "-" : `${group.group}:${group.state}`}`)
            .join(" ");
    }

    stop(): void {
        this.daemons.forEach(daemon => daemon.stop());
    }

    private stepDaemon(daemon: PlannerDaemon, index: number): void {
        const late = this.activeFault("lateReads", index, DAEMONS) ?? this.activeFault("pastRead", index, DAEMONS);
        daemon.reader.lagMilliseconds = late === undefined ? 0 : lagOf(late);
        if (this.elapsed % READ_INTERVAL_MILLISECONDS === 0) {
            daemon.reader.readChanges();
        }
        if (this.elapsed % REQUEST_INTERVAL_MILLISECONDS === 0) {
            daemon.recordRequests();
            profile.models.flatMap(({ name }) => daemon.state.servingGroups(SERVICE, name)).map(({ head }) => head.id)
                .filter(head => this.reachableEngine(head)?.standsStillFor(REQUEST_INTERVAL_MILLISECONDS) !== false)
                .forEach(head => this.daemons.forEach(other => other.suspect(head)));
        }
    }

    private initialWeights(index: number): readonly string[] {
        return [[], ["large"], ["small"], ["large"]][this.options.random.between(0, 3) * (index + 1) % 4] ?? [];
    }

    private startHost(index: number, staged: readonly string[]): void {
        const { statesStart, resultOfOtherLeave, now, random } = this.options;
        this.generation += 1;
        const id = `i-${index}${String.fromCharCode(96 + this.generation % 26)}${this.generation}`;
        const process: HostProcess = {
            engine: new SimulatedEngine({
                id,
                address: `10.0.${index}.${this.generation}:80`,
                startedAt: statesStart ? now() : undefined,
                staged,
                models: profile.models,
                openMilliseconds: profile.openMilliseconds,
                stallMilliseconds: STALL_MILLISECONDS,
                resultOfOtherLeave,
                now,
                random,
                peer: other => this.processes.get(other)?.engine,
                onChange: () => this.write(process),
                onViolation: text => {
                    this.trace(text);
                    this.violations.push(`${this.elapsed}: ${text}`);
                },
                onCut: text => {
                    this.trace(text);
                    if (!this.mayCountAsLost()) {
                        this.violations.push(`${this.elapsed}: ${text}`);
                    }
                },
                trace: line => this.trace(line),
            }),
            index,
            heartbeat: 0,
            writtenAt: 0,
            heldEntry: undefined,
        };
        this.processes.set(id, process);
        this.write(process);
    }

    private write(process: HostProcess): void {
        const { random, now, hosts } = this.options;
        const { engine, index } = process;
        process.heartbeat += 1;
        process.writtenAt = now();
        const entry: EngineEntry = { ...engine.describe(), heartbeat: process.heartbeat };
        if (this.isActive("cutFromStore", index, hosts)) {
            process.heldEntry ??= entry;
            return;
        }
        const isLate = this.isActive("lateWrites") && random.chance(LATE_WRITE_PROBABILITY);
        const delay = isLate ? this.draw(LATE_WRITE_MILLISECONDS) : WRITE_MILLISECONDS;
        if (isLate) {
            this.trace(`write ${entry.heartbeat} of ${engine.id} (${entry.membership?.group}) is late by ${delay} ms`);
        }
        setTimeout(() => {
            if (engine.isAlive || isLate) {
                this.entries.write(engine.id, entry);
            }
        }, delay);
    }

    private begin(fault: Fault): void {
        const { kind, subject } = fault;
        this.trace(`fault ${JSON.stringify(fault)}`);
        const handlers: { readonly [Kind in FaultKind]?: () => void; } = {
            pastRead: () => this.daemons[subject % DAEMONS]?.reader.readNewest(lagOf(fault)),
            handover: () => this.handOver(0, this.draw(HANDOVER_GAP_MILLISECONDS)),
            overlap: () => this.handOver(this.draw(OVERLAP_MILLISECONDS), 0),
            kill: () => this.replace(subject, 0),
            drain: () => this.replace(subject, DRAIN_MILLISECONDS),
        };
        handlers[kind]?.();
    }

    /** Hands the domain over to the other daemon; the former owner acts on for a time. */
    private handOver(overlapMilliseconds: number, gapMilliseconds: number): void {
        const former = this.owner;
        this.owner = (former + 1) % DAEMONS;
        this.token += TOKEN_STEP;
        const { owner, token } = this;
        setTimeout(() => {
            if (this.owner !== former) {
                this.assign(former, undefined);
            }
        }, overlapMilliseconds);
        setTimeout(() => {
            if (this.owner === owner) {
                this.assign(owner, token);
            }
        }, gapMilliseconds);
    }

    private assign(daemon: number, fencingToken: number | undefined): void {
        const subject = this.daemons[daemon];
        this.trace(`d${daemon} owns ${fencingToken}`);
        if (subject !== undefined) {
            subject.assignment = fencingToken === undefined ? undefined : { fencingToken, partitions: [0] };
        }
    }

    /** Ends the present process of a host, after a notice if there is one, and starts another one later. */
    private replace(subject: number, noticeMilliseconds: number): void {
        const index = subject % this.options.hosts;
        const process = [...this.processes.values()].find(({ engine, index: other }) =>
            other === index && engine.isAlive
        );
        if (process === undefined || process.engine.draining) {
            return;
        }
        const end = (): void => {
            const staged = process.engine.describe().stagedModels;
            process.engine.kill();
            this.trace(`${process.engine.id} ends`);
            if (noticeMilliseconds > 0) {
                this.entries.write(process.engine.id, undefined);
            }
            setTimeout(() => this.startHost(index, staged), this.draw(RESTART_MILLISECONDS));
        };
        if (noticeMilliseconds === 0) {
            end();
            return;
        }
        process.engine.drain();
        setTimeout(end, noticeMilliseconds);
    }

    private engineControl(): EngineControl {
        return {
            order: async (target, order, guard) => {
                const engine = this.reachableEngine(target.id);
                const carryOut = (): OrderResult =>
                    engine?.isAlive === true ? engine.order(order, guard) : "unanswered";
                const { chance, between } = this.options.random;
                if (this.isActive("lostOrders") && chance(LOSS_PROBABILITY)) {
                    this.trace(`order to ${order.kind} to ${order.host} is lost or unanswered`);
                    if (between(0, 1) === 0) {
                        carryOut();
                    }
                    await delay(ORDER_TIMEOUT_MILLISECONDS);
                    return "unanswered";
                }
                if (this.isActive("lateOrders") && chance(LOSS_PROBABILITY)) {
                    this.trace(`order to ${order.kind} to ${order.host} is late`);
                    setTimeout(carryOut, this.draw(LATE_ORDER_MILLISECONDS));
                    await delay(ORDER_TIMEOUT_MILLISECONDS);
                    return "unanswered";
                }
                await delay(this.draw(CALL_MILLISECONDS));
                const result = carryOut();
                await delay(this.draw(CALL_MILLISECONDS));
                return result;
            },
            report: async target => {
                const engine = this.reachableEngine(target.id);
                const isLost = this.isActive("lostReports") && this.options.random.chance(LOSS_PROBABILITY);
                if (engine?.isAlive !== true || isLost) {
                    await delay(REPORT_TIMEOUT_MILLISECONDS);
                    return undefined;
                }
                const report = engine.report();
                await delay(this.draw(CALL_MILLISECONDS));
                return report;
            },
        };
    }

    /** Returns whether a host that runs may count as lost, because daemons have not reached it. */
    private mayCountAsLost(): boolean {
        return this.options.faults.some(({ kind, at }) => UNREACHING_FAULTS.has(kind) && at <= this.elapsed);
    }

    /** Returns an engine to which the daemons have a way. */
    private reachableEngine(id: string): SimulatedEngine | undefined {
        const process = this.processes.get(id);
        const isCut = process !== undefined && this.isActive("cutFromDaemons", process.index, this.options.hosts);
        return isCut ? undefined : process?.engine;
    }

    private broadcast(from: number, reported: ReportedMembership): void {
        const to = (from + 1) % DAEMONS;
        if (this.isActive("lostMessages") && this.options.random.chance(LOSS_PROBABILITY)) {
            return;
        }
        const milliseconds = this.isActive("lateMessages")
            ? this.draw(LATE_MESSAGE_MILLISECONDS)
            : MESSAGE_MILLISECONDS;
        const at = Math.max(this.messageAt[to] ?? 0, this.options.now() + milliseconds);
        this.messageAt[to] = at;
        setTimeout(() => this.daemons[to]?.state.applyMembership(reported), at - this.options.now());
    }

    private activeFault(kind: FaultKind, index = 0, count = 1): Fault | undefined {
        return this.options.faults.find(fault =>
            fault.kind === kind && fault.at <= this.elapsed && this.elapsed < fault.at + fault.milliseconds
            && fault.subject % count === index
        );
    }

    private isActive(kind: FaultKind, index = 0, count = 1): boolean {
        return this.activeFault(kind, index, count) !== undefined;
    }

    private draw({ lowest, highest }: { readonly lowest: number; readonly highest: number; }): number {
        return this.options.random.between(lowest, highest);
    }

    private trace(line: string): void {
        this.options.trace(`${this.elapsed}: ${line}`);
    }
}

/** Returns how old what a daemon reads is during a disturbance of its reads. */
function lagOf({ subject }: Fault): number {
    const { lowest, highest } = LATE_READ_MILLISECONDS;
    return lowest + subject * LAG_STEP_MILLISECONDS % (highest - lowest);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
