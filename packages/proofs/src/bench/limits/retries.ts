/**
 * Benchmark of retries: how much an outage of 30 s amplifies the load on the targets, and whether shed callers are
 * refused immediately and retry at the right time. Time is simulated; retry budget and admission are the production
 * code.
 */
import { createAdmission, createRetryBudget, decideAttempt, type RetryBudget } from "@damaskvale/core";
import { build } from "hdr-histogram-js";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";

const TICK_MILLISECONDS = 10;
const OUTAGE_FROM_MILLISECONDS = 30_000;
const OUTAGE_TO_MILLISECONDS = 60_000;
const ARRIVALS_PER_SECOND = 40;

/** Queue of simulated events. */
class EventQueue {
    private entries: { readonly at: number; readonly run: (now: number) => void; }[] = [];

    add(at: number, run: (now: number) => void): void {
        this.entries.push({ at, run });
    }

    runDue(now: number): void {
        const due = this.entries.filter(({ at }) => at <= now);
        this.entries = this.entries.filter(({ at }) => at > now);
        due.forEach(({ run }) => run(now));
    }
}

/** Simulates an outage in which every attempt fails after 20 ms; returns the attempts per request during it. */
function measureAmplification(budget: RetryBudget, seed: number): number {
    const random = xoroshiro128plus(seed);
    const eventQueue = new EventQueue();
    let firstAttempts = 0;
    let allAttempts = 0;
    const attempt = (now: number, attempts: number, deadlineAt: number): void => {
        const inOutage = now >= OUTAGE_FROM_MILLISECONDS && now < OUTAGE_TO_MILLISECONDS;
        allAttempts += inOutage ? 1 : 0;
        firstAttempts += inOutage && attempts === 1 ? 1 : 0;
        if (!inOutage) {
            return;
        }
        eventQueue.add(now + 20, failedAt => {
            const state = {
                attempts,
                failure: "broken" as const,
                repeatable: true,
                delivered: false,
                now: failedAt,
                deadlineAt,
            };
            const decision = decideAttempt(state, { budget, random });
            if (decision.kind === "retry") {
                eventQueue.add(failedAt + decision.delayMilliseconds, at => attempt(at, attempts + 1, deadlineAt));
            }
        });
    };
    let nextArrival = 0;
    for (let now = 0; now < 90_000; now += TICK_MILLISECONDS) {
        eventQueue.runDue(now);
        for (; nextArrival <= now; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / ARRIVALS_PER_SECOND) {
            budget.recordFirstAttempt(now);
            attempt(now, 1, now + 120_000);
        }
    }
    return allAttempts / firstAttempts;
}

const unlimited: RetryBudget = {
    recordFirstAttempt: () => undefined,
    tryWithdraw: () => true,
    balance: () => Infinity,
};

/** When a refused caller retries. `after` returns the delay for the Retry-After time that the caller was given. */
interface ReturnPolicy {
    readonly name: string;
    readonly baseline: boolean;
    after(toldMilliseconds: number): number;
}

const returnPolicies: readonly ReturnPolicy[] = [
    { name: "computed Retry-After", baseline: false, after: told => told },
    { name: "always after 1 s", baseline: true, after: () => 1_000 },
    { name: "always after 10 s", baseline: true, after: () => 10_000 },
];

const CAPACITY = 20;
const SERVICE_MILLISECONDS = 500;
const BURST_MILLISECONDS = 5_000;
/** Twice the service rate of the capacity during the burst, then half of the service rate. */
const BURST_PER_SECOND = 80;
const CALM_PER_SECOND = 20;

/** Simulates a burst; every refused caller retries as the policy says until it is accepted. */
function simulateBurst(seed: number, way: ReturnPolicy) {
    const random = xoroshiro128plus(seed);
    const eventQueue = new EventQueue();
    const admission = createAdmission({ capacity: CAPACITY });
    const told = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 60_000_000,
        numberOfSignificantValueDigits: 3,
    });
    const wait = build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 600_000,
        numberOfSignificantValueDigits: 3,
    });
    const arrivedAt = new Map<string, number>();
    const triesById = new Map<string, number>();
    const counts = { shed: 0, acceptedAtFirstReturn: 0, tries: 0 };
    admission.configure([{ team: "a", weight: 1, queueLength: 20 }], 0);

    const recordStart = (id: string, now: number): void => {
        wait.recordValue(now - (arrivedAt.get(id) ?? now));
        eventQueue.add(now + SERVICE_MILLISECONDS * (0.5 + uniformFloat64(random)), endedAt => {
            admission.finish(id, 0, endedAt);
        });
    };
    const sendRequest = (id: string, now: number): void => {
        const tries = triesById.get(id) ?? 0;
        triesById.set(id, tries + 1);
        counts.tries += 1;
        const offeredAt = performance.now();
        const decision = admission.offer({ id, team: "a", priority: 5, tokens: 0, deadlineAt: now + 60_000 }, now);
        if (decision.kind === "refused") {
            told.recordValue(Math.round((performance.now() - offeredAt) * 1_000));
            counts.shed += tries === 0 ? 1 : 0;
            eventQueue.add(now + way.after(decision.retryAfterMilliseconds), at => sendRequest(id, at));
        }
        else {
            counts.acceptedAtFirstReturn += tries === 1 ? 1 : 0;
            if (decision.kind === "admitted") {
                recordStart(id, now);
            }
        }
    };
    let nextArrival = 0;
    for (let now = 0; now < 60_000; now += TICK_MILLISECONDS) {
        eventQueue.runDue(now);
        const rate = now < BURST_MILLISECONDS ? BURST_PER_SECOND : CALM_PER_SECOND;
        for (; nextArrival <= now && now < 30_000; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / rate) {
            const id = `r${arrivedAt.size}`;
            arrivedAt.set(id, now);
            sendRequest(id, now);
        }
        admission.poll(now).admitted.forEach(id => recordStart(id, now));
    }
    return { counts, wait, told, requests: arrivedAt.size };
}

function figures(
    scenario: string,
    subject: string,
    baseline: boolean,
    values: readonly (readonly [string, string, number, BenchFigure["better"]])[],
): BenchFigure[] {
    return values.map(([measure, unit, value, better]) => ({
        scenario,
        subject,
        baseline,
        measure,
        unit,
        value,
        better,
    }));
}

function measure({ seed }: BenchOptions): BenchFigure[] {
    const outage = "outage of 30 s, 40 requests/s";
    const burst = "5 s burst at twice the capacity";
    return [
        ...figures(outage, "retry budget", false, [[
            "attempts for each request",
            "",
            measureAmplification(createRetryBudget(), seed),
            "lower",
        ]]),
        ...figures(outage, "no budget", true, [[
            "attempts for each request",
            "",
            measureAmplification(unlimited, seed),
            "lower",
        ]]),
        ...returnPolicies.flatMap(way => {
            const { counts, wait, told, requests } = simulateBurst(seed, way);
            return figures(burst, way.name, way.baseline, [
                [
                    "accepted at the first return",
                    "% of those shed",
                    100 * counts.acceptedAtFirstReturn / counts.shed,
                    "higher",
                ],
                ["tries for each request", "", counts.tries / requests, "lower"],
                ["refusal told after p99", "us", told.getValueAtPercentile(99), "lower"],
                ["wait until start p50", "ms", wait.getValueAtPercentile(50), "lower"],
                ["wait until start p95", "ms", wait.getValueAtPercentile(95), "lower"],
                ["wait until start p99", "ms", wait.getValueAtPercentile(99), "lower"],
            ]);
        }),
    ];
}

/** Benchmark of the retry budget and of the computed Retry-After. */
export const retriesBench: Bench = {
    name: "retries",
    run: async options => ({ name: "retries", ...options, figures: measure(options) }),
};
