/**
 * Fuzz modules of routing and of retries. The oracle keeps a record of every attempt that was sent and computes the load
 * of each target from these records.
 */
import {
    type Candidate,
    createRetryBudget,
    createRouter,
    decideAttempt,
    type RouteChoice,
    type RouteRequest,
} from "@damaskvale/core";
import fc from "fast-check";
import { deepStrictEqual as same, ok } from "node:assert/strict";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createFuzzModule, type Trace } from "./types.js";

const TARGETS = ["g0", "g1", "g2", "g3", "g4", "g5", "g6"] as const;
const EJECTED_SHARE = 0.34;
const BLOCKS = ["p0", "p1", "p2", "p3"] as const;

const target = fc.constantFrom(...TARGETS);
const blocks = fc.subarray([...BLOCKS]);
const step = fc.oneof(
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("route" as const),
            prefixes: blocks,
            priority: fc.integer({ min: 0, max: 9 }),
            excluded: fc.subarray([...TARGETS], { maxLength: 3 }),
        }),
    },
    {
        weight: 8,
        arbitrary: fc.record({
            kind: fc.constant("finish" as const),
            pick: fc.nat(50),
            result: fc.constantFrom("complete" as const, "failed" as const, "refused" as const, "cancelled" as const),
            firstTokenMilliseconds: fc.constantFrom(undefined, 50, 300, 9_000),
        }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("fail" as const), target }) },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("wait" as const), milliseconds: fc.nat(8_000) }) },
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("report" as const),
            target,
            age: fc.nat(3_000),
            others: fc.nat(4),
            queued: fc.nat(3),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({
            kind: fc.constant("row" as const),
            target,
            weight: fc.constantFrom(0, 0, 0.5, 1, 10),
            concurrency: fc.option(fc.integer({ min: 1, max: 6 }), { nil: undefined }),
            present: fc.boolean(),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("cache" as const), target, stored: blocks, evicted: blocks }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("gap" as const), target }) },
);
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;
type StepOf<Kind extends Step["kind"]> = Extract<Step, { kind: Kind; }>;

interface SentAttempt {
    readonly target: string;
    readonly sentAt: number;
    endedAt: number;
}

async function runRouting({ seed, steps }: { seed: number; steps: Step[]; }, trace: Trace): Promise<void> {
    const router = createRouter({
        random: xoroshiro128plus(seed),
        maximumEjectedShare: EJECTED_SHARE,
        prefixBlocks: 16,
    });
    const candidates = new Map<string, Candidate>(
        TARGETS.map(name => [name, { target: name, weight: 1, readySince: -1e6 }]),
    );
    const sent: SentAttempt[] = [];
    let now = 0;

    const inProgress = (name: string, at: number): number =>
        sent.filter(entry => entry.target === name && entry.sentAt <= at && entry.endedAt > at).length;
    const loadOf = ({ target: name, load }: Candidate): number =>
        inProgress(name, now)
        + Math.max(0, (load?.running ?? 0) + (load?.queued ?? 0) - inProgress(name, load?.reportedAt ?? now));

    const route = (request: RouteRequest): void => {
        const offered = [...candidates.values()];
        const choice = router.choose(offered, request, now);
        const scores = choice.weighed.map(({ target: name, score, excludedBecause }) =>
            `${name} ${excludedBecause ?? score}`
        );
        trace(`${now}: chose ${choice.target} of ${scores.join(", ")}`);
        checkChoice(choice, offered, request, loadOf);
        if (choice.target !== undefined) {
            router.sent(choice.target, request, now);
            sent.push({ target: choice.target, sentAt: now, endedAt: Infinity });
        }
    };
    const handlers: { [Kind in Step["kind"]]: (step: StepOf<Kind>) => void; } = {
        route,
        finish: ({ pick, result, firstTokenMilliseconds }) => {
            const open = sent.filter(({ endedAt }) => endedAt === Infinity);
            const entry = open[pick % Math.max(1, open.length)];
            if (entry !== undefined) {
                entry.endedAt = now;
                router.finished({ target: entry.target, finishedAt: now, result, firstTokenMilliseconds });
                trace(`${now}: ${entry.target} ${result}`);
            }
        },
        fail: ({ target: name }) =>
            Array.from({ length: 3 }).forEach(() => {
                router.sent(name, { prefixes: [], priority: 5, excluded: [] }, now);
                router.finished({ target: name, finishedAt: now, result: "failed" });
            }),
        wait: ({ milliseconds }) => {
            now += milliseconds;
        },
        report: ({ target: name, age, others, queued }) => {
            const known = candidates.get(name);
            const reportedAt = Math.max(known?.load?.reportedAt ?? 0, now - age);
            if (known !== undefined) {
                const running = inProgress(name, reportedAt) + others;
                candidates.set(name, { ...known, load: { running, queued, reportedAt } });
            }
        },
        row: ({ target: name, weight, concurrency, present }) => {
            candidates.delete(name);
            if (present) {
                candidates.set(name, { target: name, weight, concurrency, readySince: now });
            }
        },
        cache: ({ target: name, stored, evicted }) => router.cacheEvent(name, { stored, evicted }),
        gap: ({ target: name }) => router.cacheGap(name),
    };
    steps.forEach(next => (handlers[next.kind] as (step: Step) => void)(next));
}

function checkChoice(
    { target: chosen, weighed }: RouteChoice,
    offered: readonly Candidate[],
    request: RouteRequest,
    loadOf: (candidate: Candidate) => number,
): void {
    const usable = offered.filter(({ weight }) => weight > 0);
    const ejected = weighed.filter(({ excludedBecause }) => excludedBecause === "ejected").map(entry => entry.target);
    const cap = usable.length < 2 ? 0 : Math.max(1, Math.floor(usable.length * EJECTED_SHARE));
    ok(ejected.length <= cap, `${ejected.length} of ${usable.length} targets are ejected; the limit is ${cap}`);
    weighed.forEach(({ target: name, estimatedLoad }, index) => {
        const expected = loadOf(offered[index] as Candidate);
        same(estimatedLoad, expected, `the estimated load of ${name} is ${estimatedLoad}, expected ${expected}`);
    });
    const available = usable.filter(candidate =>
        !request.excluded.includes(candidate.target) && loadOf(candidate) < (candidate.concurrency ?? Infinity)
    );
    const preferred = available.filter(candidate => !ejected.includes(candidate.target));
    if (preferred.length > 0) {
        ok(
            preferred.some(candidate => candidate.target === chosen),
            `${chosen} was chosen although a preferred target has capacity`,
        );
    }
    ok(
        chosen === undefined || available.some(candidate => candidate.target === chosen),
        `${chosen} was chosen although it is excluded, disabled or full`,
    );
}

/** Fuzz module of the router. */
export const routingFuzz = createFuzzModule(
    "routing",
    fc.record({ seed: fc.nat(), steps: fc.array(step, { maxLength: 120, size: "max" }) }),
    runRouting,
);

interface RetryScenario {
    readonly ratio: number;
    readonly minimumPerSecond: number;
    readonly requests: readonly {
        readonly gap: number;
        readonly repeatable: boolean;
        readonly timeoutMilliseconds: number;
        readonly failure: "not-sent" | "refused" | "broken" | "silent" | "failed" | "cancelled";
        readonly latency: number;
    }[];
}

/** Runs requests whose attempts all fail. Retries must start before the deadline and stay within the retry budget. */
async function runRetries({ ratio, minimumPerSecond, requests }: RetryScenario, trace: Trace): Promise<void> {
    const windowMilliseconds = 10_000;
    const budget = createRetryBudget({ ratio, minimumPerSecond, windowMilliseconds });
    const random = xoroshiro128plus(1);
    const firstAttempts: number[] = [];
    const retries: number[] = [];
    let now = 0;

    requests.forEach(({ gap, repeatable, timeoutMilliseconds: patience, failure, latency }, index) => {
        now += gap;
        const deadlineAt = now + patience;
        firstAttempts.push(now);
        budget.recordFirstAttempt(now);
        let attempts = 1;
        let decision = decide();
        while (decision.kind === "retry") {
            retries.push(now);
            attempts += 1;
            ok(
                now + decision.delayMilliseconds < deadlineAt,
                `attempt ${attempts} of ${index} starts after its deadline`,
            );
            ok(failure !== "cancelled", "a cancelled request was retried");
            ok(
                repeatable || failure === "not-sent" || failure === "refused",
                `request ${index} was retried although it is not repeatable`,
            );
            now += decision.delayMilliseconds + latency;
            trace(`${now}: attempt ${attempts} of ${index}`);
            decision = decide();
        }
        ok(attempts <= 4, `request ${index} had ${attempts} attempts`);

        function decide() {
            const state = { attempts, failure, repeatable, delivered: false, now, deadlineAt };
            return decideAttempt(state, { budget, random });
        }
    });
    retries.forEach(end => {
        const within = (times: number[]) => times.filter(at => at > end - windowMilliseconds && at <= end).length;
        // The budget counts in slots of a tenth of the window, so first attempts of up to one slot may already have expired.
        const count = retries.filter(at => at > end - windowMilliseconds * 0.9 && at <= end).length;
        const bound = within(firstAttempts) * ratio + minimumPerSecond * windowMilliseconds / 1_000;
        ok(count <= bound + 1e-9, `${count} retries in the window that ends at ${end}; the bound is ${bound}`);
    });
}

/** Fuzz module of retries and the retry budget. */
export const retryFuzz = createFuzzModule<RetryScenario>(
    "retries",
    fc.record({
        ratio: fc.constantFrom(0, 0.1, 0.5),
        minimumPerSecond: fc.constantFrom(0, 0.5, 2),
        requests: fc.array(
            fc.record({
                gap: fc.nat(2_000),
                repeatable: fc.boolean(),
                timeoutMilliseconds: fc.nat(5_000),
                failure: fc.constantFrom("not-sent", "refused", "broken", "silent", "failed", "cancelled"),
                latency: fc.nat(500),
            }),
            { maxLength: 80, size: "max" },
        ),
    }),
    runRetries,
);
