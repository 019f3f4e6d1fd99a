/**
 * Benchmark of a target that states the request rate that it takes: how much it gets from all daemons together, and how
 * much of its rate they use. Time is simulated; statements, shares and pacing are the production code.
 */
import { createRequestPacer, type RequestPacer } from "@damaskvale/core";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Bench, BenchFigure, BenchOptions } from "../types.js";
import {
    createProductionGate,
    type FleetPhase,
    type Gate,
    type GateContext,
    mostWithinWindow,
    simulateFleet,
} from "./limitedfleet.js";

const RATE_PER_SECOND = 2.4;
const STABLE_MILLISECONDS = 3_000;
const WINDOW_SECONDS = 4;
/** Requests that the platform allows in a window. */
const ALLOWED = 1.5 * RATE_PER_SECOND * WINDOW_SECONDS + 5;
const PERMIT_MILLISECONDS = 2_000;

/** Gate that keeps to a fixed part of the stated rate, without messages. */
function createFixedPartGate(part: number): Gate {
    let pacer: RequestPacer | undefined;
    return {
        mayTake: now => (pacer?.waitMilliseconds(now) ?? 0) === 0,
        taken: now => pacer?.recordSent(now),
        responded: (...[, rate, now]) => {
            pacer = rate.kind === "limited"
                ? pacer
                    ?? createRequestPacer({ requestsPerSecond: rate.requestsPerSecond * part, initialLevel: 1 }, now)
                : undefined;
        },
        message: () => undefined,
        receive: () => undefined,
    };
}

/** Gate of a fleet in which the first daemon that a daemon reaches grants permits in turn to those that it reaches. */
function createPermitGate({ daemon, heard, now: clock, announce }: GateContext): Gate {
    let isLimited = false;
    let permitUntil = Number.NEGATIVE_INFINITY;
    let granted: { readonly to: number; readonly at: number; } = { to: -1, at: Number.NEGATIVE_INFINITY };
    const grantNext = (now: number): void => {
        const members = [daemon, ...heard()].sort((left, right) => left - right);
        if (isLimited && members[0] === daemon && now - granted.at >= 1_000 / RATE_PER_SECOND) {
            granted = { to: members.find(member => member > granted.to) ?? daemon, at: now };
            permitUntil = granted.to === daemon ? now + PERMIT_MILLISECONDS : permitUntil;
            announce();
        }
    };
    return {
        mayTake: now => {
            grantNext(now);
            return !isLimited || now < permitUntil;
        },
        taken: () => {
            permitUntil = Number.NEGATIVE_INFINITY;
        },
        responded: (...[, rate]) => {
            isLimited = rate.kind === "limited";
        },
        message: now => {
            grantNext(now);
            return { isLimited, granted };
        },
        receive: message => {
            const { isLimited: stated, granted: permit } = message as { isLimited: boolean; granted: typeof granted; };
            isLimited ||= stated;
            if (permit.to === daemon && clock() - permit.at < PERMIT_MILLISECONDS && permit.at > granted.at) {
                granted = permit;
                permitUntil = permit.at + PERMIT_MILLISECONDS;
            }
        },
    };
}

const policies: readonly {
    readonly name: string;
    readonly baseline: boolean;
    readonly createGate: (context: GateContext) => Gate;
}[] = [
    { name: "damaskvale", baseline: false, createGate: createProductionGate },
    { name: "even shares", baseline: true, createGate: ({ daemons }) => createFixedPartGate(1 / daemons) },
    { name: "permits from one daemon", baseline: true, createGate: createPermitGate },
    { name: "whole rate at each daemon", baseline: true, createGate: () => createFixedPartGate(1) },
];

interface Scenario {
    readonly daemons: number;
    readonly name: string;
    readonly offeredPerSecond: number;
    readonly fields: Partial<FleetPhase>;
}

const calm = { sideOf: () => 0, isPaused: () => false, restarted: [] };
/** Requests per second that each daemon could send to the target: while it is short of other targets, and usually. */
const SCARCE_PER_DAEMON = 1.5;
const USUAL_PER_DAEMON = 0.2;
const scenarios: readonly Scenario[] = [8, 76].flatMap(daemons => {
    const offeredPerSecond = daemons * SCARCE_PER_DAEMON;
    const sideOf = (daemon: number): number => daemon % 3;
    const isPaused = (daemon: number): boolean => daemon < 2;
    return [
        { daemons, name: "other targets full", offeredPerSecond, fields: {} },
        { daemons, name: "other targets free", offeredPerSecond: daemons * USUAL_PER_DAEMON, fields: {} },
        { daemons, name: "data centres cut off", offeredPerSecond, fields: { sideOf } },
        { daemons, name: "two daemons paused", offeredPerSecond, fields: { isPaused } },
    ];
});

function measure(
    { daemons, name, offeredPerSecond, fields }: Scenario,
    { name: policy, baseline, createGate }: typeof policies[number],
    { seed, quick }: BenchOptions,
): BenchFigure[] {
    const seconds = quick ? 10 : 40;
    const phases: FleetPhase[] = [
        { ...calm, milliseconds: STABLE_MILLISECONDS, offeredPerSecond, statedRate: RATE_PER_SECOND },
        { ...calm, milliseconds: seconds * 1_000, offeredPerSecond, statedRate: RATE_PER_SECOND, ...fields },
    ];
    const sent = simulateFleet(daemons, phases, createGate, xoroshiro128plus(seed))
        .filter(({ at }) => at >= STABLE_MILLISECONDS);
    const usable = Math.min(RATE_PER_SECOND, offeredPerSecond) * seconds;
    const figure = (
        label: string,
        unit: string,
        value: number,
        better: BenchFigure["better"],
    ): BenchFigure => ({
        scenario: `${daemons} daemons, ${name}`,
        subject: policy,
        baseline,
        measure: label,
        unit,
        value,
        better,
    });
    return [
        figure("greatest 4 s", "% of what is allowed", 100 * mostWithinWindow(sent, 0) / ALLOWED, "lower"),
        figure("used on average", "% of what is offered or taken", 100 * sent.length / usable, "higher"),
    ];
}

/** Benchmark of a target that states its request rate. */
export const targetLimitsBench: Bench = {
    name: "targetlimits",
    run: async options => ({
        name: "targetlimits",
        ...options,
        figures: scenarios.flatMap(scenario => policies.flatMap(policy => measure(scenario, policy, options))),
    }),
};
