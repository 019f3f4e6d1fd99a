/**
 * Fuzz module of what targets say of themselves: a target leaves, rests and starts again, while daemons are cut off from
 * the registry and from each other, and start again. Time is simulated; the decisions are those of the production code.
 */
import type { LeavingStatement, Target } from "@damaskvale/core";
import {
    createRelayState,
    createTargetAvailability,
    type RelayState,
    type TargetAvailability,
    type TargetStatements,
} from "@damaskvale/daemon";
import fc from "fast-check";
import { ok } from "node:assert/strict";
import { createFuzzModule, type Trace } from "./types.js";

/** One step of a scenario. */
type Step =
    | { readonly kind: "wait"; readonly milliseconds: number; }
    | { readonly kind: "request"; readonly daemon: number; readonly responseMilliseconds: number; }
    | { readonly kind: "rest"; readonly milliseconds: number; }
    | { readonly kind: "leave"; }
    | { readonly kind: "restartTarget"; }
    | { readonly kind: "restartDaemon"; readonly daemon: number; }
    | { readonly kind: "cutStore"; readonly daemon: number; readonly milliseconds: number; }
    | { readonly kind: "cutDaemons"; readonly daemon: number; readonly milliseconds: number; };

interface StatementScenario {
    readonly daemons: number;
    readonly steps: readonly Step[];
}

/** What one process of a daemon has read in responses, by the start of the target's process to which it had sent. */
interface ReadStatements {
    readonly leaving: Set<number>;
    readonly restEnds: Map<number, number>;
}

interface Daemon {
    readonly state: RelayState;
    readonly availability: TargetAvailability;
    readonly read: ReadStatements;
}

interface Delivery {
    readonly at: number;
    readonly run: () => void;
}

const TARGET_ID = "target";
const SERVICE = "service";
const REGISTRY_MILLISECONDS = 300;
const PEER_MILLISECONDS = 40;
const ROUND_MILLISECONDS = 150;
const TICK_MILLISECONDS = 10;
/** Rests may end between two ticks. */
const ROUNDING_MILLISECONDS = 0.001;

class StatementFleet {
    private now = 0;
    private startedAt = 1;
    private isLeaving = false;
    private restMilliseconds = 0;
    private readonly storeCutUntil: number[];
    private readonly daemonsCutUntil: number[];
    private readonly daemons: Daemon[];
    /** Starts of the processes of which any daemon has read that they leave. */
    private readonly knownToLeave = new Set<number>();
    private deliveries: Delivery[] = [];

    constructor(count: number, private readonly trace: Trace) {
        this.storeCutUntil = Array.from({ length: count }, () => 0);
        this.daemonsCutUntil = Array.from({ length: count }, () => 0);
        this.daemons = this.storeCutUntil.map((...[, index]) => this.start(index));
    }

    run(step: Step): void {
        this.trace(`${this.now}: ${JSON.stringify(step)}`);
        const handlers: { readonly [Kind in Step["kind"]]: (step: Extract<Step, { kind: Kind; }>) => void; } = {
            wait: ({ milliseconds }) => this.advance(milliseconds),
            request: ({ daemon, responseMilliseconds }) => this.offer(this.indexOf(daemon), responseMilliseconds),
            rest: ({ milliseconds }) => {
                this.restMilliseconds = milliseconds;
            },
            leave: () => {
                this.isLeaving = true;
            },
            restartTarget: () => this.restartTarget(),
            restartDaemon: ({ daemon }) => {
                this.daemons[this.indexOf(daemon)] = this.start(this.indexOf(daemon));
            },
            cutStore: ({ daemon, milliseconds }) => {
                this.storeCutUntil[this.indexOf(daemon)] = this.now + milliseconds;
            },
            cutDaemons: ({ daemon, milliseconds }) => {
                this.daemonsCutUntil[this.indexOf(daemon)] = this.now + milliseconds;
            },
        };
        (handlers[step.kind] as (step: Step) => void)(step);
    }

    private indexOf(daemon: number): number {
        return daemon % this.storeCutUntil.length;
    }

    private start(index: number): Daemon {
        const state = createRelayState();
        const availability = createTargetAvailability({
            clock: { monotonic: () => this.now, wall: () => this.now },
            log: { emit: () => undefined },
            self: { daemon: `d${index}`, dataCentre: "x" },
            reachableDaemons: () => [],
            knownDaemons: () => 1,
            state,
        });
        availability.onChange(() => this.tell(index));
        state.replaceTargets([this.entry()]);
        return { state, availability, read: { leaving: new Set(), restEnds: new Map() } };
    }

    /** Entry of the present process, which always says that it serves: only responses state that it leaves. */
    private entry(): Target {
        return {
            id: TARGET_ID,
            service: SERVICE,
            address: "10.0.0.1:80",
            dataCentre: "x",
            draining: false,
            registered: true,
            slots: 18,
            startedAt: this.startedAt,
            stagedModels: [],
            busy: false,
            entryNumber: 0,
        };
    }

    private restartTarget(): void {
        this.startedAt += 1;
        this.isLeaving = false;
        this.restMilliseconds = 0;
        this.daemons.forEach((...[, index]) => this.deliverEntry(index));
    }

    /** Delivers the present entry once the daemon reaches the store, and perhaps after another restart. */
    private deliverEntry(index: number): void {
        const at = Math.max(this.now, this.storeCutUntil[index] ?? 0) + REGISTRY_MILLISECONDS;
        this.deliver(at, () => {
            if ((this.storeCutUntil[index] ?? 0) > this.now) {
                this.deliverEntry(index);
                return;
            }
            this.daemons[index]?.state.applyTargets([{ key: TARGET_ID, value: this.entry() }]);
        });
    }

    private deliver(at: number, run: () => void): void {
        this.deliveries.push({ at, run });
    }

    private advance(milliseconds: number): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.now += TICK_MILLISECONDS;
            const due = this.deliveries.filter(({ at }) => at <= this.now);
            this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
            due.forEach(({ run }) => run());
            if (this.now % ROUND_MILLISECONDS === 0) {
                this.daemons.forEach((...[, index]) => this.tell(index));
            }
        }
    }

    private tell(from: number): void {
        const statements: readonly LeavingStatement[] = this.daemons[from]?.availability.leaving() ?? [];
        if (statements.length === 0 || this.isCutOff(from)) {
            return;
        }
        this.daemons.forEach((...[, to]) => {
            this.deliver(this.now + PEER_MILLISECONDS, () => {
                if (to !== from && !this.isCutOff(to)) {
                    statements.forEach(statement => this.daemons[to]?.availability.mergeLeaving(statement, `d${from}`));
                }
            });
        });
    }

    private isCutOff(daemon: number): boolean {
        return (this.daemonsCutUntil[daemon] ?? 0) > this.now;
    }

    /** Lets a daemon decide about a request, and checks the decision against what it has read. */
    private offer(index: number, responseMilliseconds: number): void {
        const daemon = this.daemons[index] as Daemon;
        const target = daemon.state.targetById(TARGET_ID) as Target;
        const process = target.startedAt ?? 0;
        const isServing = daemon.state.servingTargets(SERVICE).includes(target);
        const isSent = isServing && daemon.availability.waitMilliseconds(target) === 0;
        const restsUntil = daemon.read.restEnds.get(process) ?? 0;
        if (!isSent) {
            const isJustified = this.knownToLeave.has(process) || this.now < restsUntil + ROUNDING_MILLISECONDS;
            ok(isJustified, `${this.now}: d${index} refuses process ${process}, whose statements have ended`);
            return;
        }
        this.trace(`${this.now}: d${index} sends to process ${process}`);
        ok(!daemon.read.leaving.has(process), `${this.now}: d${index} sends to process ${process}, which leaves`);
        ok(this.now >= restsUntil, `${this.now}: d${index} sends to process ${process}, which rests`);
        daemon.availability.recordSent(target);
        this.respond(index, target, responseMilliseconds);
    }

    /** The process that runs when the request arrives answers it, unless it ends before. */
    private respond(index: number, target: Target, responseMilliseconds: number): void {
        const sentAt = this.now;
        const daemon = this.daemons[index] as Daemon;
        const { startedAt, isLeaving, restMilliseconds } = this;
        const statements: TargetStatements = {
            rate: { kind: "unlimited" },
            rest: restMilliseconds > 0 ? { kind: "resting", milliseconds: restMilliseconds } : { kind: "none" },
            leaving: isLeaving,
        };
        this.deliver(sentAt + responseMilliseconds, () => {
            if (this.startedAt !== startedAt || this.daemons[index] !== daemon) {
                return;
            }
            this.recordRead(daemon.read, target.startedAt ?? 0, statements);
            const status = restMilliseconds > 0 ? 503 : 200;
            daemon.availability.recordResponse({ target, sentAt }, { status, statements });
        });
    }

    private recordRead(read: ReadStatements, process: number, { leaving, rest }: TargetStatements): void {
        if (leaving) {
            read.leaving.add(process);
            this.knownToLeave.add(process);
        }
        if (rest.kind === "resting") {
            read.restEnds.set(process, Math.max(read.restEnds.get(process) ?? 0, this.now + rest.milliseconds));
        }
    }
}

/** No request is sent against a statement that the daemon has read, and none is refused for one that has ended. */
async function runTargetStatements({ daemons, steps }: StatementScenario, trace: Trace): Promise<void> {
    const fleet = new StatementFleet(daemons, trace);
    steps.forEach(step => fleet.run(step));
}

const daemonIndex = fc.nat(5);
const milliseconds = fc.constantFrom(10, 50, 120, 300, 700, 2_000, 5_000);

/** Fuzz module of what targets say of themselves. */
export const targetStatementsFuzz = createFuzzModule<StatementScenario>(
    "targetstatements",
    fc.record({
        daemons: fc.integer({ min: 1, max: 6 }),
        steps: fc.array(
            fc.oneof(
                { weight: 6, arbitrary: fc.record({ kind: fc.constant("wait" as const), milliseconds }) },
                {
                    weight: 12,
                    arbitrary: fc.record({
                        kind: fc.constant("request" as const),
                        daemon: daemonIndex,
                        responseMilliseconds: fc.constantFrom(10, 40, 250, 1_000),
                    }),
                },
                {
                    weight: 2,
                    arbitrary: fc.record({
                        kind: fc.constant("rest" as const),
                        milliseconds: fc.constantFrom(0, 0, 5, 250, 1_234, 4_000),
                    }),
                },
                { weight: 1, arbitrary: fc.record({ kind: fc.constant("leave" as const) }) },
                { weight: 1, arbitrary: fc.record({ kind: fc.constant("restartTarget" as const) }) },
                {
                    weight: 1,
                    arbitrary: fc.record({ kind: fc.constant("restartDaemon" as const), daemon: daemonIndex }),
                },
                {
                    weight: 1,
                    arbitrary: fc.record({ kind: fc.constant("cutStore" as const), daemon: daemonIndex, milliseconds }),
                },
                {
                    weight: 1,
                    arbitrary: fc.record({
                        kind: fc.constant("cutDaemons" as const),
                        daemon: daemonIndex,
                        milliseconds,
                    }),
                },
            ),
            { minLength: 1, maxLength: 120, size: "max" },
        ),
    }),
    runTargetStatements,
);
