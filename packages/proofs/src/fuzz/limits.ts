/**
 * Fuzz module of the limits in one daemon's admission. The oracle records every admission and checks it against the rates,
 * the concurrency and the order of priorities.
 */
import { type AdmissionDecision, createAdmission, type TeamShare } from "@damaskvale/core";
import fc from "fast-check";
import { deepStrictEqual as same, ok } from "node:assert/strict";
import { createFuzzModule, type Trace } from "./types.js";

const TEAMS = ["a", "b", "c"] as const;
const BURST_SECONDS = 1;
const PRIORITY_STEP_MILLISECONDS = 2_000;
/** Rounding error of sums of rates. */
const TOLERANCE = 1e-6;

const optional = <Value>(value: fc.Arbitrary<Value>) => fc.option(value, { nil: undefined });
const shares = fc.tuple(...TEAMS.map(team =>
    fc.record({
        team: fc.constant(team),
        weight: fc.constantFrom(0, 0.5, 1, 4),
        requestsPerSecond: optional(fc.constantFrom(0.2, 1, 5, 50)),
        tokensPerSecond: optional(fc.constantFrom(50, 1_000, 20_000)),
        concurrency: optional(fc.integer({ min: 1, max: 4 })),
        queueLength: fc.integer({ min: 0, max: 8 }),
    })
));
const step = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("offer" as const),
            team: fc.constantFrom(...TEAMS),
            priority: fc.integer({ min: 0, max: 9 }),
            tokens: fc.integer({ min: 0, max: 2_000 }),
            timeoutMilliseconds: fc.constantFrom(0, 200, 5_000, 100_000),
        }),
    },
    {
        weight: 4,
        arbitrary: fc.record({
            kind: fc.constant("finish" as const),
            pick: fc.nat(50),
            tokens: fc.integer({ min: 0, max: 3_000 }),
        }),
    },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.nat(3_000) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("withdraw" as const), pick: fc.nat(50) }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("capacity" as const), capacity: fc.integer({ min: 0, max: 6 }) }),
    },
);

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type Scenario = { readonly shares: readonly TeamShare[]; readonly steps: readonly Step[]; };
type StepOf<Kind extends Step["kind"]> = Extract<Step, { kind: Kind; }>;

interface RequestRecord {
    readonly id: string;
    readonly team: string;
    readonly priority: number;
    readonly tokens: number;
    readonly offeredAt: number;
    state: "queued" | "running" | "ended";
}

/** Records the decisions of the admission and checks each one against the limits. */
class AdmissionOracle {
    readonly entries: RequestRecord[] = [];
    readonly admissions: { readonly entry: RequestRecord; readonly at: number; }[] = [];
    private readonly tokenCharges: { readonly team: string; readonly at: number; readonly tokens: number; }[] = [];

    constructor(private readonly shares: readonly TeamShare[]) {}

    find(id: string): RequestRecord {
        return this.entries.find(entry => entry.id === id) as RequestRecord;
    }

    inState(state: RequestRecord["state"]): RequestRecord[] {
        return this.entries.filter(entry => entry.state === state);
    }

    recordAdmission(entry: RequestRecord, now: number, capacity: number): void {
        same(entry.state, "queued", `${entry.id} was admitted in state ${entry.state}`);
        entry.state = "running";
        this.admissions.push({ entry, at: now });
        this.tokenCharges.push({ team: entry.team, at: now, tokens: entry.tokens });
        ok(
            this.inState("running").length <= capacity,
            `${this.inState("running").length} requests run with capacity ${capacity}`,
        );
        const share = this.shares.find(({ team }) => team === entry.team) as TeamShare;
        const running = this.inState("running").filter(({ team }) => team === entry.team).length;
        ok(running <= (share.concurrency ?? Infinity), `${running} of ${entry.team} run, more than its concurrency`);
        this.checkRates(share, entry, now);
    }

    recordEnd(entry: RequestRecord, tokens: number, now: number): void {
        entry.state = "ended";
        this.tokenCharges.push({ team: entry.team, at: now, tokens: tokens - entry.tokens });
    }

    /** Checks every window that ends now: at most rate * window + burst, for tokens plus the cost of the newest request. */
    private checkRates(
        { team, requestsPerSecond, tokensPerSecond }: TeamShare,
        { tokens }: RequestRecord,
        now: number,
    ): void {
        const admissions = this.admissions.filter(({ entry }) => entry.team === team);
        admissions.forEach(({ at }, index) => {
            const bound = requestsPerSecond === undefined
                ? Infinity
                : requestsPerSecond * (now - at) / 1_000 + Math.max(1, requestsPerSecond * BURST_SECONDS);
            ok(admissions.length - index <= bound + TOLERANCE, `${team} exceeds its request rate since ${at}`);
        });
        const charges = this.tokenCharges.filter(charge => charge.team === team);
        charges.forEach(({ at }, index) => {
            const charged = charges.slice(index).reduce((sum, charge) => sum + charge.tokens, 0);
            const bound = tokensPerSecond === undefined
                ? Infinity
                : tokensPerSecond * ((now - at) / 1_000 + BURST_SECONDS) + tokens;
            ok(charged <= bound + TOLERANCE, `${team} exceeds its token rate since ${at}`);
        });
    }

    /**
     * Checks that no request was overtaken by a later request of its team, unless the priority of the later one makes up
     * for the time between them.
     */
    checkOrder(): void {
        this.admissions.forEach(({ entry, at }, index) => {
            const overtaking = this.admissions.slice(0, index).filter(({ entry: other, at: otherAt }) =>
                other.team === entry.team && otherAt >= entry.offeredAt
                && other.offeredAt - entry.offeredAt
                    > Math.max(0, (other.priority - entry.priority) * PRIORITY_STEP_MILLISECONDS)
            );
            same(overtaking.map(({ entry: other }) => other.id), [], `${entry.id} was overtaken before ${at}`);
        });
    }
}

/** Run of one scenario. */
class AdmissionRun {
    readonly oracle: AdmissionOracle;
    private readonly admission = createAdmission({ capacity: 3 });
    private capacity = 3;
    private now = 0;
    private readonly handlers: { [Kind in Step["kind"]]: (step: StepOf<Kind>) => void; } = {
        offer: step => this.offer(step),
        finish: ({ pick, tokens }) => this.finish(pickFrom(this.oracle.inState("running"), pick), tokens),
        wait: ({ milliseconds }) => {
            this.now += milliseconds;
        },
        withdraw: ({ pick }) => this.withdraw(pickFrom(this.oracle.inState("queued"), pick)),
        capacity: ({ capacity }) => {
            this.capacity = capacity;
            this.admission.setCapacity(capacity, this.now);
        },
    };

    constructor(shares: readonly TeamShare[], private readonly trace: Trace) {
        this.oracle = new AdmissionOracle(shares);
        this.admission.configure(shares, this.now);
    }

    step(step: Step): void {
        (this.handlers[step.kind] as (step: Step) => void)(step);
        this.poll();
    }

    /** Finishes running requests until the last deadline has passed, and checks that the queue is empty then. */
    drain(): void {
        Array.from({ length: 30 }).forEach(() => {
            this.oracle.inState("running").forEach(entry => this.finish(entry, entry.tokens));
            this.poll();
            this.now += 5_000;
        });
        same(this.oracle.inState("queued").map(({ id }) => id), [], "requests were left in the queue");
    }

    private poll(): void {
        const { admitted, refused } = this.admission.poll(this.now);
        this.trace(`${this.now}: poll admitted ${admitted.join(",")} refused ${refused.map(({ id }) => id).join(",")}`);
        refused.forEach(({ id, decision }) => this.refuse(this.oracle.find(id), decision));
        admitted.forEach(id => this.oracle.recordAdmission(this.oracle.find(id), this.now, this.capacity));
    }

    private offer({ team, priority, tokens, timeoutMilliseconds }: StepOf<"offer">): void {
        const id = `${team}${this.oracle.entries.length}`;
        const entry: RequestRecord = { id, team, priority, tokens, offeredAt: this.now, state: "queued" };
        this.oracle.entries.push(entry);
        const request = { id, team, priority, tokens, deadlineAt: this.now + timeoutMilliseconds };
        const decision = this.admission.offer(request, this.now);
        this.trace(`${this.now}: offer ${id} ${JSON.stringify(decision)}`);
        if (decision.kind === "admitted") {
            this.oracle.recordAdmission(entry, this.now, this.capacity);
        }
        if (decision.kind === "refused") {
            this.refuse(entry, decision);
        }
    }

    private refuse(entry: RequestRecord, decision: AdmissionDecision): void {
        same(entry.state, "queued", `${entry.id} was refused in state ${entry.state}`);
        ok(
            decision.kind === "refused" && decision.retryAfterMilliseconds > 0,
            `the refusal of ${entry.id} has no retry time`,
        );
        entry.state = "ended";
    }

    private finish(entry: RequestRecord | undefined, tokens: number): void {
        if (entry !== undefined) {
            this.admission.finish(entry.id, tokens, this.now);
            this.oracle.recordEnd(entry, tokens, this.now);
            this.trace(`${this.now}: finish ${entry.id} with ${tokens} tokens`);
        }
    }

    private withdraw(entry: RequestRecord | undefined): void {
        if (entry !== undefined) {
            this.admission.cancel(entry.id);
            entry.state = "ended";
            this.trace(`${this.now}: withdraw ${entry.id}`);
        }
    }
}

function pickFrom(entries: readonly RequestRecord[], pick: number): RequestRecord | undefined {
    return entries[pick % Math.max(1, entries.length)];
}

async function runAdmission(scenario: Scenario, trace: Trace): Promise<void> {
    const run = new AdmissionRun(scenario.shares, trace);
    scenario.steps.forEach(next => run.step(next));
    run.drain();
    run.oracle.checkOrder();
}

/** Fuzz module of one daemon's admission. */
export const admissionFuzz = createFuzzModule<Scenario>(
    "limits",
    fc.record({ shares, steps: fc.array(step, { maxLength: 100, size: "max" }) }),
    runAdmission,
);
