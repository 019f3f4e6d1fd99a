/** Fuzz module of claims: duplicate requests at several daemons, paused, killed and restarted owners, log faults. */
import { type ClaimsBody, claimsFold, type ClaimsState, claimsStream, type HeldKey } from "@damaskvale/core";
import { type ClaimResult, type ClaimsTask, createClaims } from "@damaskvale/daemon";
import fc from "fast-check";
import { createFuzzModule, type Trace } from "./types.js";
import { assertInvariant, type DaemonName, daemonNames, type DaemonProcess, SimulatedCluster } from "./world/daemon.js";
import { linkFaults } from "./world/platform.js";
import { withFakeTime } from "./world/time.js";

const PARTITIONS = 2;
const STREAMS = [...Array(PARTITIONS).keys()].map(claimsStream);
const SETTLE_MILLISECONDS = 70_000;
const TEAM = "fees";
const STATUS = 200;

const daemon = fc.constantFrom(...daemonNames);
const stepArbitrary = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("request" as const),
            daemon,
            /** Log fault that is set before the request, so that it affects the append of the claim record. */
            fault: fc.constantFrom(undefined, undefined, undefined, undefined, "lost" as const, "delayed" as const),
            /** Daemon that receives the same request at the same time. */
            duplicate: fc.option(daemon, { nil: undefined }),
            key: fc.nat(2),
            body: fc.constantFrom("x", "x", "x", "y"),
            deadlineMilliseconds: fc.constantFrom(100, 300, 10_000),
            /** Time between reading back the claim and the dispatch, and between the dispatch and the outcome. */
            pauseMilliseconds: fc.constantFrom(0, 50, 400),
            runMilliseconds: fc.constantFrom(10, 600),
        }),
    },
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("advance" as const),
            milliseconds: fc.constantFrom(4, 12, 60, 300, 600, 3_000),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({ kind: fc.constant("fault" as const), daemon, fault: fc.constantFrom(...linkFaults) }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("kill" as const), daemon }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart" as const), daemon }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("cutOff" as const), daemon, isCutOff: fc.boolean() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("retention" as const), keep: fc.nat(3) }) },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("repeat" as const),
            record: fc.nat(20),
            /** Whether the copy is appended after its id has left the decision window. */
            isLate: fc.integer({ min: 0, max: 3 }).map(value => value === 3),
        }),
    },
    { weight: 1, arbitrary: fc.constant({ kind: "deliver" as const }) },
);

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type StepOf<Kind extends Step["kind"]> = Extract<Step, { kind: Kind; }>;
type ClaimsWorld = SimulatedCluster<ClaimsState, ClaimsBody>;
type ClaimsProcess = DaemonProcess<ClaimsState, ClaimsBody>;

/** More entries than the decision window holds. */
const NOISE_ENTRIES = 4_200;

/** State of a request as the test observes it, independent of the code under test. */
interface SimulatedRequest {
    readonly id: number;
    readonly keyHash: string;
    readonly process: ClaimsProcess;
    reportedResult?: ClaimResult["kind"] | "not-run" | "complete";
    dispatched: boolean;
}

class Scenario {
    private readonly tasks = new Map<ClaimsProcess, ClaimsTask>();
    private readonly requests: SimulatedRequest[] = [];

    constructor(private readonly world: ClaimsWorld, private readonly trace: Trace) {}

    start(name: DaemonName): void {
        const process = this.world.start(name);
        const noMetrics = { increment: () => undefined, gauge: () => undefined, timing: () => undefined };
        const author = { daemon: process.name, incarnation: process.incarnation };
        const { streams, network, clock, random } = process;
        const events = { emit: () => undefined };
        this.tasks.set(process, createClaims({ author, streams, network, clock, random, events, metrics: noMetrics }));
    }

    async play(step: Step): Promise<void> {
        this.trace(JSON.stringify(step));
        const { platform, network } = this.world;
        const handlers: { [Kind in Step["kind"]]: (step: StepOf<Kind>) => void | Promise<void>; } = {
            request: one => {
                if (one.fault !== undefined) {
                    platform.setFault(one.daemon, one.fault);
                }
                [one.daemon, one.duplicate].forEach(name => {
                    const process = name === undefined ? undefined : this.world.processes.get(name);
                    if (process !== undefined) {
                        void this.request(process, one);
                    }
                });
            },
            advance: ({ milliseconds }) => this.world.advance(milliseconds),
            fault: one => platform.setFault(one.daemon, one.fault),
            kill: one => this.kill(one.daemon),
            restart: one => {
                this.kill(one.daemon);
                this.start(one.daemon);
            },
            cutOff: one => network.setCutOff(one.daemon, one.isCutOff),
            retention: ({ keep }) => STREAMS.forEach(stream => platform.truncate(stream, keep)),
            repeat: ({ record, isLate }) => STREAMS.forEach(stream => this.repeat(stream, record, isLate)),
            deliver: () => platform.commitDelayedAppends(),
        };
        await (handlers[step.kind] as (step: Step) => void | Promise<void>)(step);
        this.check();
    }

    /** Ends all faults and checks that no live daemon keeps a claim without an outcome. */
    async finish(): Promise<void> {
        this.world.heal();
        daemonNames.filter(name => !this.world.processes.has(name)).forEach(name => this.start(name));
        await this.world.advance(SETTLE_MILLISECONDS);
        this.check();
        const alive = new Set([...this.world.processes.values()].map(({ incarnation }) => incarnation));
        this.heldKeys().filter(held => held.outcome === undefined).forEach(held => {
            assertInvariant(!alive.has(held.incarnation), `claim ${held.claim} of a live daemon was not released`);
        });
        this.requests.filter(({ process }) => process.isAlive).forEach(({ id, reportedResult }) => {
            assertInvariant(reportedResult !== undefined, `request ${id} got no answer`);
        });
    }

    stop(): void {
        this.world.stop();
        this.tasks.forEach(task => task.stop());
    }

    private kill(name: DaemonName): void {
        const process = this.world.processes.get(name);
        if (process !== undefined) {
            this.world.kill(name);
            this.tasks.get(process)?.stop();
        }
    }

    /** Acts as a dispatcher: claims the key, checks the deadline again after a pause, dispatches and records the outcome. */
    private async request(process: ClaimsProcess, step: StepOf<"request">): Promise<void> {
        const task = this.tasks.get(process);
        const keyHash = String(step.key).repeat(64);
        const request: SimulatedRequest = { id: this.requests.length, keyHash, process, dispatched: false };
        this.requests.push(request);
        const deadlineAt = this.world.time.now() + step.deadlineMilliseconds;
        const bodyHash = step.body === "x" ? "a".repeat(64) : "b".repeat(64);
        const result = await task?.claim({ team: TEAM, keyHash, bodyHash, deadlineAt });
        if (!process.isAlive || result === undefined) {
            return;
        }
        this.trace(`  request ${request.id} of ${process.name}#${process.incarnation}: ${JSON.stringify(result)}`);
        if (result.kind !== "held") {
            request.reportedResult = result.kind;
            this.checkAnswer(request, result);
            return;
        }
        const isInTime = this.world.time.now() < deadlineAt;
        this.world.recordViolationUnless(isInTime, `the claim of request ${request.id} was granted after its deadline`);
        await this.sleep(step.pauseMilliseconds);
        if (!process.isAlive) {
            return;
        }
        if (this.world.time.now() >= deadlineAt) {
            request.reportedResult = "not-run";
            task?.release(result.claim);
            return;
        }
        request.dispatched = true;
        this.trace(`  request ${request.id} dispatched`);
        await this.sleep(step.runMilliseconds);
        if (process.isAlive) {
            request.reportedResult = "complete";
            const answer = { status: STATUS, headers: {}, body: Buffer.from(String(request.id)) };
            task?.record(result.claim, "complete", STATUS, answer);
        }
    }

    /** A repeated request may get `completed` only if a request with its key ran, and then with the answer of that run. */
    private checkAnswer({ id, keyHash }: SimulatedRequest, result: ClaimResult): void {
        if (result.kind !== "completed") {
            return;
        }
        const run = this.requests.find(other => other.keyHash === keyHash && other.dispatched);
        const answer = result.answer?.body.toString() ?? String(run?.id);
        this.world.recordViolationUnless(
            run !== undefined && result.status === STATUS && answer === String(run.id),
            `request ${id} got the result of a run that did not happen or has another answer`,
        );
    }

    private check(): void {
        this.world.check();
        const runs = new Map<string, number>();
        this.requests.filter(({ dispatched }) => dispatched).forEach(({ keyHash, id, reportedResult }) => {
            assertInvariant(!runs.has(keyHash), `requests ${runs.get(keyHash)} and ${id} ran under one key`);
            assertInvariant(
                reportedResult === undefined || reportedResult === "complete",
                `request ${id} ran, but its result was ${reportedResult}`,
            );
            runs.set(keyHash, id);
        });
    }

    /** Claimed keys of the streams that have caught up; past a gap that no snapshot covers, no claim can be released. */
    private heldKeys(): HeldKey[] {
        return [...this.world.processes.values()].flatMap(({ streams }) =>
            streams.filter(stream => stream.health().caughtUp)
                .flatMap(stream => stream.folded.current().state.toJSON().keys)
        );
    }

    private repeat(stream: string, index: number, isLate: boolean): void {
        const noise = isLate ? NOISE_ENTRIES : 0;
        [...Array(noise).keys()].forEach(() => this.world.platform.commit(stream, "noise"));
        const records = this.world.platform.history(stream).filter(({ value }) => typeof value === "object");
        const record = records[index % Math.max(1, records.length)];
        if (record !== undefined) {
            this.world.platform.commit(stream, record.value);
        }
    }

    private sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => {
            setTimeout(resolve, milliseconds);
        });
    }
}

/** Fuzz module of the claims streams. */
export const claimsFuzz = createFuzzModule(
    "claims",
    fc.array(stepArbitrary, { minLength: 1, maxLength: 30, size: "max" }),
    (steps, trace) =>
        withFakeTime(async time => {
            const world: ClaimsWorld = new SimulatedCluster(time, claimsFold, STREAMS, trace, () => undefined);
            const scenario = new Scenario(world, trace);
            try {
                daemonNames.forEach(name => scenario.start(name));
                await world.advance(50);
                for (const step of steps) {
                    await scenario.play(step);
                }
                await scenario.finish();
            }
            finally {
                scenario.stop();
            }
        }),
);
