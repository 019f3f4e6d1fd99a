/**
 * Simulates placement by many daemons whose reports of each other's requests lag, under heavy load of one model. Guards
 * against all daemons sending requests to the group that looked least loaded in the last reports.
 */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { EngineProfile, ModelProfile } from "../../routes/types.js";
import { decodeStepMilliseconds, placeRequest, prefillMilliseconds } from "../place.js";
import {
    countArrivals,
    engine as smallGroupEngine,
    model as smallGroupModel,
    STEP_MILLISECONDS,
} from "./largefleet.js";

const model: ModelProfile = { ...smallGroupModel, name: "small", size: 6, share: 0.5 };
const engine: EngineProfile = {
    ...smallGroupEngine,
    slots: 34,
    kvCacheTokens: 1_749_583,
    stepsPerPass: 5,
    models: [model],
    meanPromptTokens: 714,
    meanOutputTokens: 148,
};
const DAEMONS = 63;
const GROUPS = 12;
const SECONDS = 30;
const REPORT_INTERVAL_MILLISECONDS = 600;
const PROMPT_TOKENS = 714;
const ANSWER_TOKENS = 148;

interface Running {
    readonly daemon: number;
    remaining: number;
}

type Policy = (known: readonly number[], random: () => number) => number | undefined;

/** Simulates a request rate; returns the shares of requests that were sent to a full group or refused. */
function simulate(requestsPerSecond: number, choose: Policy): { readonly full: number; readonly refused: number; } {
    const generator = xoroshiro128plus(7);
    const draw = (): number => uniformFloat64(generator);
    const groups: Running[][] = Array.from({ length: GROUPS }, () => []);
    const countOf = (group: number, daemon: number): number =>
        (groups[group] ?? []).filter(running => running.daemon === daemon).length;
    let reported: number[][] = [];
    let requests = 0;
    let full = 0;
    let refused = 0;
    for (let now = 0; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
        if (now % REPORT_INTERVAL_MILLISECONDS === 0) {
            reported = Array.from(
                { length: DAEMONS },
                (...[, daemon]) => groups.map((...[, group]) => countOf(group, daemon)),
            );
        }
        groups.forEach((group, index) => {
            const tokens = STEP_MILLISECONDS / decodeStepMilliseconds(engine, model, group.length);
            groups[index] = group.filter(running => (running.remaining -= tokens) > 0);
        });
        const arrivals = countArrivals(requestsPerSecond, now);
        for (let arrival = 0; arrival < arrivals; arrival += 1) {
            const daemon = Math.floor(draw() * DAEMONS);
            const known = groups.map((...[, group]) =>
                reported.reduce((sum, counts, other) => sum + (other === daemon ? 0 : counts[group] ?? 0), 0)
                + countOf(group, daemon)
            );
            const chosen = choose(known, draw);
            requests += 1;
            if (chosen === undefined) {
                refused += 1;
                continue;
            }
            const group = groups[chosen] ?? [];
            full += group.length >= engine.slots ? 1 : 0;
            const reading = prefillMilliseconds(engine, model, PROMPT_TOKENS)
                / decodeStepMilliseconds(engine, model, engine.slots / 2);
            group.push({ daemon, remaining: ANSWER_TOKENS + reading });
        }
    }
    return { full: full / requests, refused: refused / requests };
}

const placementPolicy: Policy = (known, random) => {
    const placement = placeRequest({
        engine,
        model,
        candidates: known.map((inProgress, group) => ({
            head: `i-${group.toString(16)}`,
            dataCentre: "a",
            inProgress,
            pendingPromptTokens: 0,
            suspected: false,
            waitMilliseconds: 0,
            slowness: 1,
            isConnected: false,
        })),
        dataCentre: "a",
        promptTokens: PROMPT_TOKENS,
        remainingMilliseconds: 6_000,
        recovering: false,
        random,
    });
    return placement.kind === "placed" ? Number.parseInt(placement.head.slice(2), 16) : undefined;
};

/** Chooses the group with the fewest requests known to the daemon, unless all groups are full. */
const leastLoaded: Policy = known => {
    const fewest = Math.min(...known);
    return fewest < engine.slots ? known.indexOf(fewest) : undefined;
};

describe("placement by a large fleet", () => {
    const loads: readonly [string, number][] = [["usual", 220], ["heavy", 330]];
    loads.forEach(([name, requestsPerSecond]) =>
        it(`sends fewer requests to full groups than the least-loaded policy under ${name} load`, () => {
            const placed = simulate(requestsPerSecond, placementPolicy);
            const least = simulate(requestsPerSecond, leastLoaded);
            const figures = JSON.stringify({ placed, least });
            expect(placed.full + placed.refused, figures).to.be.below((least.full + least.refused) / 2);
        })
    );

    it("sends less than 1 % of the requests to full groups under usual load", () => {
        const { full, refused } = simulate(220, placementPolicy);
        expect(full + refused).to.be.below(0.01);
    });
});
