/**
 * Plays the load of a large fleet whose daemons send each group a request every half minute. Checks how many requests need a
 * new connection and how many meet a full group, beside placement that does not know which connections are idle.
 */
import { expect } from "chai";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { countArrivals, engine, placeOnGroups, STEP_MILLISECONDS } from "./largefleet.js";

const DATA_CENTRES = 5;
const GROUPS = 100;
const SECONDS = 20;
/** Requests before this time find few idle connections. */
const WARM_UP_MILLISECONDS = 6_000;
const STREAM_MILLISECONDS = 950;
const IDLE_MILLISECONDS = 4_000;
const EXCHANGE_MILLISECONDS = 250;

interface Result {
    /** Share of the requests that needed a new connection. */
    readonly connecting: number;
    /** Share of the requests that met a full group or were refused. */
    readonly full: number;
}

function simulate(daemons: number, requestsPerSecond: number, knowsConnections: boolean): Result {
    const generator = xoroshiro128plus(5);
    const random = (): number => uniformFloat64(generator);
    const counts = Array.from({ length: GROUPS }, () => 0);
    /** By daemon and group, until when each idle connection is kept. */
    const idleUntil = Array.from({ length: daemons }, () => new Map<number, number[]>());
    const ends = new Map<number, { readonly daemon: number; readonly group: number; }[]>();
    let reported: readonly number[] = counts;
    const result = { all: 0, connecting: 0, full: 0 };

    const idleOf = (daemon: number, group: number, now: number): number[] =>
        (idleUntil[daemon]?.get(group) ?? []).filter(until => until > now);
    const endStreams = (now: number): void => {
        (ends.get(now) ?? []).forEach(({ daemon, group }) => {
            counts[group] = (counts[group] ?? 0) - 1;
            idleUntil[daemon]?.set(group, [...idleOf(daemon, group, now), now + IDLE_MILLISECONDS]);
        });
        ends.delete(now);
    };
    const place = (now: number): void => {
        const daemon = Math.floor(random() * daemons);
        const placement = placeOnGroups(
            reported,
            group => ({
                dataCentre: String(group % DATA_CENTRES),
                isConnected: knowsConnections && idleOf(daemon, group, now).length > 0,
            }),
            String(daemon % DATA_CENTRES),
            random,
        );
        const group = placement.kind === "placed" ? Number(placement.head) : undefined;
        const isFull = group === undefined || (counts[group] ?? 0) >= engine.slots;
        const idle = group === undefined ? [] : idleOf(daemon, group, now);
        if (now >= WARM_UP_MILLISECONDS) {
            result.all += 1;
            result.full += isFull ? 1 : 0;
            result.connecting += idle.length === 0 ? 1 : 0;
        }
        if (group !== undefined) {
            counts[group] = (counts[group] ?? 0) + 1;
            idleUntil[daemon]?.set(group, idle.slice(1));
            const end = now + STREAM_MILLISECONDS;
            ends.set(end, [...ends.get(end) ?? [], { daemon, group }]);
        }
    };

    for (let now = 0; now < SECONDS * 1_000; now += STEP_MILLISECONDS) {
        endStreams(now);
        reported = now % EXCHANGE_MILLISECONDS === 0 ? [...counts] : reported;
        Array.from({ length: countArrivals(requestsPerSecond, now) }).forEach(() => place(now));
    }
    return { connecting: result.connecting / result.all, full: result.full / result.all };
}

const scenarios: readonly { readonly daemons: number; readonly requestsPerSecond: number; }[] = [
    { daemons: 195, requestsPerSecond: 617 },
    { daemons: 195, requestsPerSecond: 740 },
    { daemons: 85, requestsPerSecond: 617 },
];

describe("placement by a fleet that keeps connections", function() {
    this.timeout(30_000);
    scenarios.forEach(({ daemons, requestsPerSecond }) =>
        it(`opens fewer connections and meets no more full groups: ${daemons} daemons, ${requestsPerSecond} a second`, () => {
            const [known, unknown] = [true, false].map(knows => simulate(daemons, requestsPerSecond, knows));
            const figures = JSON.stringify({ known, unknown });
            expect(known?.connecting, figures).to.be.below((unknown?.connecting ?? 0) * 0.7);
            expect(known?.full, figures).to.be.at.most((unknown?.full ?? 0) + 0.002);
        })
    );
});
