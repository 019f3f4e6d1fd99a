/**
 * Fuzz modules of fairness between backlogged teams, and of each daemon's share of the teams' limits while demand
 * messages are delayed, lost or blocked by a partition.
 */
import { createAdmission, createDemandTracker } from "@damaskvale/core";
import fc from "fast-check";
import { ok } from "node:assert/strict";
import { createFuzzModule, type Trace } from "./types.js";

const ROUNDS = 120;
/** Documented bounds of the shares, see docs/decisions/limits.md. */
const CUT_OFF_FACTOR = 2;
const FLOOR_SHARE = 0.1;

interface FairnessScenario {
    readonly capacity: number;
    readonly teams: readonly { readonly weight: number; readonly costs: readonly number[]; }[];
    readonly finishing: readonly number[];
}

/** Runs teams that always have requests queued. Their served cost per weight may differ by one request of each team. */
async function runFairness({ capacity, teams, finishing }: FairnessScenario, trace: Trace): Promise<void> {
    const admission = createAdmission({ capacity });
    const names = [...teams.keys()].map(index => `t${index}`);
    admission.configure(names.map((team, index) => ({ team, weight: teams[index]?.weight ?? 1, queueLength: 99 })), 0);
    const served = names.map(() => 0);
    const waiting = names.map(() => 0);
    const running: { readonly id: string; readonly cost: number; }[] = [];
    const costs = new Map<string, number>();
    let count = 0;

    const fillQueues = (now: number): void =>
        names.forEach((team, index) => {
            Array.from({ length: 2 - (waiting[index] ?? 0) }).forEach(() => {
                count += 1;
                const cost = teams[index]?.costs[count % (teams[index]?.costs.length ?? 1)] ?? 1;
                const request = { id: `${team}-${count}`, team, priority: 5, tokens: cost, deadlineAt: 1e12 };
                costs.set(request.id, cost);
                const { kind } = admission.offer(request, now);
                ok(kind === "queued", `${request.id} was ${kind} although the capacity is used up`);
                waiting[index] = (waiting[index] ?? 0) + 1;
            });
        });
    occupyCapacity();
    [...Array(ROUNDS).keys()].forEach(round => {
        fillQueues(round);
        const [ended] = running.splice((finishing[round % finishing.length] ?? 0) % running.length, 1);
        if (ended !== undefined) {
            admission.finish(ended.id, ended.cost, round);
        }
        admission.poll(round).admitted.forEach(id => {
            const index = names.findIndex(team => id.startsWith(`${team}-`));
            const cost = costs.get(id) ?? 0;
            running.push({ id, cost });
            waiting[index] = (waiting[index] ?? 0) - 1;
            served[index] = (served[index] ?? 0) + cost;
            trace(`${round}: admitted ${id} cost ${cost}`);
        });
        checkFairness();
    });

    /** Fills the capacity with requests of a separate team, so that all competing teams become backlogged together. */
    function occupyCapacity(): void {
        admission.configure([
            { team: "x", weight: 1, queueLength: 0 },
            ...names.map((team, index) => ({ team, weight: teams[index]?.weight ?? 1, queueLength: 99 })),
        ], 0);
        [...Array(capacity).keys()].forEach(index => {
            const request = { id: `x-${index}`, team: "x", priority: 5, tokens: 1, deadlineAt: 1e12 };
            admission.offer(request, 0);
            running.push({ id: request.id, cost: 1 });
        });
    }

    function checkFairness(): void {
        teams.forEach((left, i) =>
            teams.slice(0, i).forEach((right, j) => {
                const difference = (served[i] ?? 0) / left.weight - (served[j] ?? 0) / right.weight;
                const bound = Math.max(...left.costs) / left.weight + Math.max(...right.costs) / right.weight;
                ok(
                    Math.abs(difference) <= bound + 1e-6,
                    `t${i} and t${j} differ by ${difference}; the bound is ${bound}`,
                );
            })
        );
    }
}

/** Fuzz module of weighted fair queueing with teams that are backlogged all the time. */
export const fairnessFuzz = createFuzzModule<FairnessScenario>(
    "fairness",
    fc.record({
        capacity: fc.integer({ min: 1, max: 5 }),
        teams: fc.array(
            fc.record({
                weight: fc.constantFrom(0.25, 1, 2, 7),
                costs: fc.array(fc.integer({ min: 1, max: 500 }), { minLength: 1, maxLength: 4 }),
            }),
            { minLength: 2, maxLength: 5 },
        ),
        finishing: fc.array(fc.nat(20), { minLength: 1, maxLength: 10 }),
    }),
    runFairness,
);

interface SharesScenario {
    readonly daemons: number;
    readonly limit: number;
    readonly concurrency: number;
    /** Phases with a duration in seconds, the demand of each daemon and its side of a partition. */
    readonly phases: readonly {
        readonly seconds: number;
        readonly demand: readonly number[];
        readonly side: readonly number[];
    }[];
    /** Delay of each link in milliseconds, at most the 1 s that the demand tracker allows for. */
    readonly delays: readonly number[];
    /** Links that lose all messages, independent of the partition. */
    readonly lost: readonly number[];
}

/** Runs daemons that publish their demand every second. The sum of their shares may not exceed the documented bound. */
async function runShares(scenario: SharesScenario, trace: Trace): Promise<void> {
    const { daemons, limit, concurrency, phases } = scenario;
    const seconds = phases.flatMap(phase => Array.from({ length: phase.seconds }, () => phase));
    const team = { team: "a", weight: 1, queueLength: 1, requestsPerSecond: limit, concurrency };
    const trackers = Array.from({ length: daemons }, () => createDemandTracker());
    const lastReceivedAt = trackers.map(() => trackers.map(() => Number.NEGATIVE_INFINITY));
    const messagesInFlight: { readonly at: number; readonly deliver: () => void; }[] = [];

    seconds.forEach(({ demand, side }, second) => {
        const now = second * 1_000;
        trackers.forEach((tracker, from) => {
            const report = tracker.recordMeasured(new Map([["a", demand[from % demand.length] ?? 0]]), now);
            trackers.forEach((other, to) => {
                const link = from * daemons + to;
                const isLost = side[from % side.length] !== side[to % side.length] || scenario.lost.includes(link);
                if (from !== to && !isLost) {
                    const at = now + (scenario.delays[link % scenario.delays.length] ?? 0);
                    messagesInFlight.push({
                        at,
                        deliver: () => {
                            other.recordPeer(`d${from}`, report, at);
                            (lastReceivedAt[to] as number[])[from] = at;
                        },
                    });
                }
            });
        });
        messagesInFlight.sort((left, right) => left.at - right.at);
        const due = messagesInFlight.findIndex(({ at }) => at > now + 999);
        messagesInFlight.splice(0, due < 0 ? messagesInFlight.length : due).forEach(({ deliver }) => deliver());
        check(now + 999);
    });

    function check(now: number): void {
        const shares = trackers.map(tracker => tracker.shares([team], daemons, now)[0] ?? team);
        const received = lastReceivedAt.map(times => times.map(at => at > now - 5_000));
        const rates = shares.map(({ requestsPerSecond = 0 }) => requestsPerSecond);
        const total = rates.reduce((sum, rate) => sum + rate, 0);
        const missing = received.filter(row => row.filter(Boolean).length < daemons - 1).length;
        const bound = limit * (isPartition(received) ? 1 : 1 + CUT_OFF_FACTOR * missing / daemons);
        trace(`${now}: shares ${rates.map(rate => rate.toFixed(2)).join(" ")} total ${total} bound ${bound}`);
        ok(total <= bound * (1 + 1e-9), `the shares add up to ${total}; the bound is ${bound}`);
        rates.forEach((rate, index) => {
            const complete = received[index]?.filter(Boolean).length === daemons - 1;
            const most = complete ? limit : CUT_OFF_FACTOR * limit / daemons;
            ok(rate <= most * (1 + 1e-9), `the share ${rate} of d${index} exceeds its bound ${most}`);
            ok(rate >= FLOOR_SHARE * limit / daemons * (1 - 1e-9), `the share ${rate} of d${index} is below the floor`);
        });
        const places = shares.reduce((sum, share) => sum + (share.concurrency ?? 0), 0);
        ok(places <= concurrency * bound / limit + daemons, `the shares of concurrency add up to ${places}`);
    }
}

/** Whether the daemons form disjoint sets in which each one receives messages from exactly the others of its set. */
function isPartition(received: readonly (readonly boolean[])[]): boolean {
    const rows = received.map((row, index) => row.map((receives, other) => receives || other === index));
    return rows.every((row, index) =>
        row.every((receives, other) =>
            !receives || rows[other]?.every((otherReceives, third) => otherReceives === rows[index]?.[third])
        )
    );
}

/** Fuzz module of the shares of several daemons. */
export const sharesFuzz = createFuzzModule<SharesScenario>(
    "shares",
    fc.record({
        daemons: fc.integer({ min: 1, max: 8 }),
        limit: fc.constantFrom(1, 10, 300),
        concurrency: fc.integer({ min: 1, max: 40 }),
        phases: fc.array(
            fc.record({
                seconds: fc.integer({ min: 1, max: 12 }),
                demand: fc.array(fc.constantFrom(0, 0.1, 2, 40, 1_000), { minLength: 1, maxLength: 8 }),
                side: fc.oneof(fc.constant([0]), fc.array(fc.nat(2), { minLength: 1, maxLength: 8 })),
            }),
            { maxLength: 8, size: "max" },
        ),
        delays: fc.array(fc.nat(999), { minLength: 1, maxLength: 9 }),
        lost: fc.oneof(fc.constant([]), fc.array(fc.nat(63), { maxLength: 40, size: "max" })),
    }),
    runShares,
);
