/**
 * Benchmark of retries: how much an outage of 30 s amplifies the load of the targets, and whether callers that were
 * shed were told at once and came back at the right time. Modelled time; budget and admission are the real ones.
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

/** Runs work at its time. */
class Agenda {
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

/** Plays an outage in which every attempt fails after 20 ms; returns attempts for each request in the outage. */
function amplification(budget: RetryBudget, seed: number): number {
    const random = xoroshiro128plus(seed);
    const agenda = new Agenda();
    let first = 0;
    let all = 0;
    const attempt = (now: number, attempts: number, deadlineAt: number): void => {
        const out = now >= OUTAGE_FROM_MILLISECONDS && now < OUTAGE_TO_MILLISECONDS;
        all += out ? 1 : 0;
        first += out && attempts === 1 ? 1 : 0;
        if (!out) {
            return;
        }
        agenda.add(now + 20, failedAt => {
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
                agenda.add(failedAt + decision.delayMilliseconds, at => attempt(at, attempts + 1, deadlineAt));
            }
        });
    };
    let nextArrival = 0;
    for (let now = 0; now < 90_000; now += TICK_MILLISECONDS) {
        agenda.runDue(now);
        for (; nextArrival <= now; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / ARRIVALS_PER_SECOND) {
            budget.recordFirstAttempt(now);
            attempt(now, 1, now + 120_000);
        }
    }
    return all / first;
}

const unlimited: RetryBudget = {
    recordFirstAttempt: () => undefined,
    tryWithdraw: () => true,
    balance: () => Infinity,
};

/** When a caller that was refused comes back. */
interface Return {
    readonly name: string;
    readonly baseline: boolean;
    after(toldMilliseconds: number): number;
}

const returns: readonly Return[] = [
    { name: "computed Retry-After", baseline: false, after: told => told },
    { name: "always after 1 s", baseline: true, after: () => 1_000 },
    { name: "always after 10 s", baseline: true, after: () => 10_000 },
];

const CAPACITY = 20;
const SERVICE_MILLISECONDS = 500;
const BURST_MILLISECONDS = 5_000;
/** Twice what the places serve, for the time of the burst; then half of it. */
const BURST_PER_SECOND = 80;
const CALM_PER_SECOND = 20;

/** Plays a burst; every refused caller comes back when it is told, until it is accepted. */
function playBurst(seed: number, way: Return) {
    const random = xoroshiro128plus(seed);
    const agenda = new Agenda();
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
    const cameAt = new Map<string, number>();
    const callers = new Map<string, number>();
    const counts = { shed: 0, acceptedAtFirstReturn: 0, tries: 0 };
    admission.configure([{ team: "a", weight: 1, queueLength: 20 }], 0);

    const started = (id: string, now: number): void => {
        wait.recordValue(now - (cameAt.get(id) ?? now));
        agenda.add(now + SERVICE_MILLISECONDS * (0.5 + uniformFloat64(random)), endedAt => {
            admission.finish(id, 0, endedAt);
        });
    };
    const come = (id: string, now: number): void => {
        const tries = callers.get(id) ?? 0;
        callers.set(id, tries + 1);
        counts.tries += 1;
        const offeredAt = performance.now();
        const decision = admission.offer({ id, team: "a", priority: 5, tokens: 0, deadlineAt: now + 60_000 }, now);
        if (decision.kind === "refused") {
            told.recordValue(Math.round((performance.now() - offeredAt) * 1_000));
            counts.shed += tries === 0 ? 1 : 0;
            agenda.add(now + way.after(decision.retryAfterMilliseconds), at => come(id, at));
        }
        else {
            counts.acceptedAtFirstReturn += tries === 1 ? 1 : 0;
            if (decision.kind === "admitted") {
                started(id, now);
            }
        }
    };
    let nextArrival = 0;
    for (let now = 0; now < 60_000; now += TICK_MILLISECONDS) {
        agenda.runDue(now);
        const rate = now < BURST_MILLISECONDS ? BURST_PER_SECOND : CALM_PER_SECOND;
        for (; nextArrival <= now && now < 30_000; nextArrival -= Math.log(1 - uniformFloat64(random)) * 1_000 / rate) {
            const id = `r${cameAt.size}`;
            cameAt.set(id, now);
            come(id, now);
        }
        admission.poll(now).admitted.forEach(id => started(id, now));
    }
    return { counts, wait, told, requests: cameAt.size };
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
            amplification(createRetryBudget(), seed),
            "lower",
        ]]),
        ...figures(outage, "no budget", true, [[
            "attempts for each request",
            "",
            amplification(unlimited, seed),
            "lower",
        ]]),
        ...returns.flatMap(way => {
            const { counts, wait, told, requests } = playBurst(seed, way);
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

/** Benchmark of retries and of the time to come back. */
export const retriesBench: Bench = {
    name: "retries",
    run: async options => ({ name: "retries", ...options, figures: measure(options) }),
};
