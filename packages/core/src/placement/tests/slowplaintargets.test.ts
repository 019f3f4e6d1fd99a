/**
 * Plays the load of a service of plain targets of which one turns slow for a while: many daemons, few requests of each, shared
 * observations that lag. Checks how many callers get a late response, beside the choice that knows no speeds.
 */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { choosePlainTarget } from "../plaintarget.js";
import { createRouteTimes } from "../routetimes.js";
import { createSpeedObservations, findSlowTargets, mergeSpeeds } from "../targetspeeds.js";

const STEP_MILLISECONDS = 5;
const SECONDS = 30;
const SLOTS = 6;
const WORK_MILLISECONDS = 21.4;
/** As `status-query` of the large site states it. */
const OBJECTIVE_MILLISECONDS = 143;
const SLOW_FROM_MILLISECONDS = 8_000;
const SLOW_UNTIL_MILLISECONDS = 18_000;
/** Requests from this long after a target turned slow are counted, since nobody can know it earlier. */
const LEARNED_MILLISECONDS = 2_000;
const EXCHANGE_MILLISECONDS = 250;
/** Share of the late responses that may remain of those of a choice that knows no speeds. */
const MOST_OF_UNAVOIDED = 0.4;

interface Scenario {
    readonly name: string;
    readonly daemons: number;
    readonly targets: number;
    readonly requestsPerSecond: number;
    readonly factor: number;
}

interface Request {
    readonly daemon: number;
    readonly target: number;
    readonly sentAt: number;
    work: number;
}

interface Result {
    /** Share of the counted requests that were late. */
    readonly late: number;
    /** Share of the requests of the last seconds that went to the target that was slow. */
    readonly afterwards: number;
}

function simulate({ daemons, targets, requestsPerSecond, factor }: Scenario, usesSpeeds: boolean): Result {
    const generator = xoroshiro128plus(5);
    const random = (): number => uniformFloat64(generator);
    const observations = Array.from({ length: daemons }, createSpeedObservations);
    const times = Array.from({ length: daemons }, createRouteTimes);
    const isSlow = (target: number, now: number): boolean =>
        target === 0 && now >= SLOW_FROM_MILLISECONDS && now < SLOW_UNTIL_MILLISECONDS;
    const isCounted = (at: number): boolean =>
        at >= SLOW_FROM_MILLISECONDS + LEARNED_MILLISECONDS && at < SLOW_UNTIL_MILLISECONDS;
    const counted = { all: 0, late: 0, lastAll: 0, lastSlow: 0 };
    let slowness = new Map<string, number>();
    let requests: Request[] = [];

    const advance = (now: number): void => {
        const served = Array.from({ length: targets }, () => 0);
        requests.forEach(request => {
            served[request.target] = (served[request.target] ?? 0) + 1;
            if ((served[request.target] ?? 0) <= SLOTS) {
                request.work -= STEP_MILLISECONDS / (isSlow(request.target, now) ? factor : 1);
            }
        });
        requests.filter(({ work }) => work <= 0).forEach(({ daemon, target, sentAt }) => {
            const elapsed = now - sentAt;
            const ratio = times[daemon]?.record("route", String(target), elapsed, now);
            if (ratio !== undefined) {
                observations[daemon]?.record(String(target), ratio, now);
            }
            counted.all += isCounted(sentAt) ? 1 : 0;
            counted.late += isCounted(sentAt) && elapsed > OBJECTIVE_MILLISECONDS ? 1 : 0;
        });
        requests = requests.filter(({ work }) => work > 0);
    };
    const send = (now: number): void => {
        const daemon = Math.floor(random() * daemons);
        const candidates = Array.from({ length: targets }, (...[, target]) => ({
            id: String(target),
            dataCentre: "a",
            inProgress: requests.filter(request => request.daemon === daemon && request.target === target).length,
            waitMilliseconds: 0,
            slowness: slowness.get(String(target)) ?? 1,
        }));
        const target = Number(choosePlainTarget(candidates, "a", random));
        const isLast = now >= (SECONDS - 4) * 1_000;
        counted.lastAll += isLast ? 1 : 0;
        counted.lastSlow += isLast && target === 0 ? 1 : 0;
        requests.push({ daemon, target, sentAt: now, work: WORK_MILLISECONDS });
    };

    for (let now = 0; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
        advance(now);
        if (now % EXCHANGE_MILLISECONDS === 0 && usesSpeeds) {
            const slow = findSlowTargets(mergeSpeeds(observations.map(observed => observed.sums(now))));
            slowness = new Map(slow.map(entry => [entry.target, entry.slowness]));
        }
        const due = Math.floor((now + STEP_MILLISECONDS) * requestsPerSecond / 1_000)
            - Math.floor(now * requestsPerSecond / 1_000);
        Array.from({ length: due }).forEach(() => send(now));
    }
    return { late: counted.late / counted.all, afterwards: counted.lastSlow / counted.lastAll };
}

const scenarios: readonly Scenario[] = [
    { name: "195 daemons, 5 targets", daemons: 195, targets: 5, requestsPerSecond: 92, factor: 8 },
    { name: "85 daemons, 3 targets", daemons: 85, targets: 3, requestsPerSecond: 33, factor: 8 },
    { name: "8 daemons, 3 targets", daemons: 8, targets: 3, requestsPerSecond: 12, factor: 8 },
];

describe("choice of plain targets while one is slow", () => {
    scenarios.forEach(scenario =>
        it(`makes fewer callers wait and uses it afterwards: ${scenario.name}`, () => {
            const [known, unknown] = [simulate(scenario, true), simulate(scenario, false)];
            const figures = JSON.stringify({ known, unknown });
            expect(unknown.late, figures).to.be.above(0.1);
            expect(known.late, figures).to.be.below(unknown.late * MOST_OF_UNAVOIDED);
            expect(known.afterwards, figures).to.be.at.least(0.8 * unknown.afterwards);
        })
    );
});
