/**
 * Plays the load of a fleet in which some groups turn slow for a while: many daemons, few requests of each at each group,
 * shared observations that lag. Checks how many callers get a slow stream, beside placement that knows no speeds.
 */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { decodeStepMilliseconds } from "../place.js";
import { createSpeedObservations, findSlowTargets, mergeSpeeds } from "../targetspeeds.js";
import { countArrivals, engine, type KnownGroup, model, placeOnGroups, STEP_MILLISECONDS } from "./largefleet.js";

const DAEMONS = 39;
const GROUPS = 60;
const EVENTS = 22;
const SECONDS = 20;
const SLOW_FROM_MILLISECONDS = 4_000;
const SLOW_UNTIL_MILLISECONDS = 12_000;
/** Requests from this long after groups turned slow are counted, since nobody can know it earlier. */
const LEARNED_MILLISECONDS = 2_000;
const EXCHANGE_MILLISECONDS = 250;
/** Share of the requests at slow groups that may remain of those that get one when no speed is known. */
const MOST_OF_UNAVOIDED = 0.7;

interface Stream {
    readonly daemon: number;
    readonly group: number;
    events: number;
    /** Part of the next event that is done. */
    progress: number;
    lastEventAt: number;
}

interface Scenario {
    readonly name: string;
    readonly requestsPerSecond: number;
    /** Number of slow groups, and how many times as long their work takes. */
    readonly slowGroups: number;
    readonly factor: number;
}

interface Result {
    /** Share of the counted requests that were sent to a slow group. */
    readonly slow: number;
    readonly refused: number;
    /** Share of the requests at the end of the run that went to groups that were slow before. */
    readonly afterwards: number;
}

function simulate({ requestsPerSecond, slowGroups, factor }: Scenario, usesSpeeds: boolean): Result {
    const generator = xoroshiro128plus(11);
    const random = (): number => uniformFloat64(generator);
    const observations = Array.from({ length: DAEMONS }, createSpeedObservations);
    const isSlow = (group: number, now: number): boolean =>
        group < slowGroups && now >= SLOW_FROM_MILLISECONDS && now < SLOW_UNTIL_MILLISECONDS;
    const passOf = (count: number): number => decodeStepMilliseconds(engine, model, count) * engine.stepsPerPass;
    let streams: Stream[] = [];
    let reported: readonly number[] = Array.from({ length: GROUPS }, () => 0);
    let slowness = new Map<string, number>();
    const counted = { all: 0, slow: 0, refused: 0, late: 0, afterwards: 0 };

    const advance = (now: number): void => {
        const counts = countByGroup(streams);
        streams.forEach(stream => {
            const pass = passOf(counts[stream.group] ?? 0);
            stream.progress += STEP_MILLISECONDS / pass / (isSlow(stream.group, now) ? factor : 1);
            if (stream.progress >= 1) {
                observations[stream.daemon]?.record(String(stream.group), (now - stream.lastEventAt) / pass, now);
                stream.progress -= 1;
                stream.events += 1;
                stream.lastEventAt = now;
            }
        });
        streams = streams.filter(({ events }) => events < EVENTS);
    };
    const place = (now: number): void => {
        const daemon = Math.floor(random() * DAEMONS);
        const known = (group: number): KnownGroup => ({ slowness: slowness.get(String(group)) ?? 1 });
        const placement = placeOnGroups(reported, known, "a", random);
        const isCounted = now >= SLOW_FROM_MILLISECONDS + LEARNED_MILLISECONDS && now < SLOW_UNTIL_MILLISECONDS;
        const group = placement.kind === "placed" ? Number(placement.head) : undefined;
        counted.all += isCounted ? 1 : 0;
        counted.refused += isCounted && group === undefined ? 1 : 0;
        if (group === undefined) {
            return;
        }
        counted.slow += isCounted && group < slowGroups ? 1 : 0;
        const isLate = now >= (SECONDS - 3) * 1_000;
        counted.late += isLate ? 1 : 0;
        counted.afterwards += isLate && group < slowGroups ? 1 : 0;
        streams.push({ daemon, group, events: 0, progress: 0, lastEventAt: now });
    };

    for (let now = 0; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
        advance(now);
        if (now % EXCHANGE_MILLISECONDS === 0) {
            reported = countByGroup(streams);
            const slow = findSlowTargets(mergeSpeeds(observations.map(observed => observed.sums(now))));
            slowness = usesSpeeds ? new Map(slow.map(entry => [entry.target, entry.slowness])) : slowness;
        }
        Array.from({ length: countArrivals(requestsPerSecond, now) }).forEach(() => place(now));
    }
    return {
        slow: counted.slow / counted.all,
        refused: counted.refused / counted.all,
        afterwards: counted.afterwards / counted.late,
    };
}

function countByGroup(streams: readonly Stream[]): number[] {
    const counts = Array.from({ length: GROUPS }, () => 0);
    streams.forEach(({ group }) => {
        counts[group] = (counts[group] ?? 0) + 1;
    });
    return counts;
}

const scenarios: readonly Scenario[] = [
    { name: "one in twenty 12 times slower", requestsPerSecond: 250, slowGroups: 3, factor: 12 },
    { name: "a sixth 3.5 times slower", requestsPerSecond: 250, slowGroups: 10, factor: 3.5 },
    {
        name: "a sixth 3.5 times slower, heavy load",
        requestsPerSecond: 380,
        slowGroups: 10,
        factor: 3.5,
    },
    { name: "half of them 3.5 times slower", requestsPerSecond: 250, slowGroups: 30, factor: 3.5 },
];

describe("placement while groups are slow", () => {
    scenarios.forEach(scenario =>
        it(`sends fewer callers to slow groups, refuses no more, and uses them afterwards: ${scenario.name}`, () => {
            const [known, unknown] = [simulate(scenario, true), simulate(scenario, false)];
            const figures = JSON.stringify({ known, unknown });
            expect(known.slow, figures).to.be.below(unknown.slow * MOST_OF_UNAVOIDED);
            expect(known.refused, figures).to.be.at.most(unknown.refused + 0.002);
            expect(known.afterwards, figures).to.be.above(0.8 * scenario.slowGroups / GROUPS);
        })
    );
});
