/**
 * Plays loads of the ticketing deployment that exceed the capacity. Guards against requests that are all late together,
 * against a priority, the largest requests, or the less urgent ones paying alone, and against refusals without need.
 */
import { expect } from "chai";
import { playFleet } from "./playedfleet.js";
import { heavyLoad, shortLoads, usualLoad } from "./playedloads.js";
import { chosenPolicy, currentPolicy } from "./playedpolicies.js";
import type { PlayedResult } from "./playedtally.js";

const SEED = 1;
/** Some 140 callers of a less urgent priority in one play differ by chance more than the bounds, those of four less. */
const SEEDS = [1, 2, 3, 4];
/** Five plays take some 5 s on an idle machine. */
const TIMEOUT_MILLISECONDS = 60_000;
/** No priority may be served less than a quarter as often as all. */
const LEAST_PRIORITY_SHARE = 1 / 4;
/** A less urgent priority may be served more often by this much. */
const MOST_INVERSION = 0.05;
/** The largest tenth is served at least half as often as all. */
const LEAST_LARGEST_SHARE = 1 / 2;

/** Share of the callers of a priority that were served in all plays together. */
function servedShare(plays: readonly PlayedResult[], priority: number): number {
    const shares = plays.flatMap(({ byPriority }) => byPriority.get(priority) ?? []);
    const callers = shares.reduce((sum, share) => sum + share.callers, 0);
    return shares.reduce((sum, share) => sum + share.callers * (1 - share.refused), 0) / callers;
}

describe("load shedding", () => {
    shortLoads.forEach(load =>
        it(`gives callers more than placement alone, and lets no priority or size pay alone: ${load.name}`, () => {
            const plays = SEEDS.map(seed => playFleet(load, chosenPolicy, seed));
            const current = playFleet(load, currentPolicy, SEED);
            const served = [0, 1, 2].map(priority => servedShare(plays, priority));
            const all = plays.reduce((sum, play) => sum + 1 - play.all.refused, 0) / plays.length;
            const figures = JSON.stringify({ served, all: plays.map(play => play.all), current: current.all });
            plays.forEach(play => {
                expect(play.all.value, figures).to.be.above(current.all.value + 0.05);
                expect(play.all.largestTenth, figures).to.be.above(LEAST_LARGEST_SHARE);
                expect(play.all.heldTooLong, figures).to.be.below(0.01);
            });
            expect(Math.min(...served), figures).to.be.above(LEAST_PRIORITY_SHARE * all);
            served.slice(1).forEach((share, index) =>
                expect(share, figures).to.be.at.most((served[index] ?? 0) + MOST_INVERSION)
            );
        }).timeout(TIMEOUT_MILLISECONDS)
    );

    it("prevents refusals while the usual load leaves room", () => {
        const { all } = playFleet(usualLoad, chosenPolicy, SEED);
        expect(all.refused, JSON.stringify(all)).to.be.below(0.002);
    });

    it("prevents that a steady load of three slots in four gives callers less than placement alone", () => {
        const [chosen, current] = [playFleet(heavyLoad, chosenPolicy, SEED), playFleet(heavyLoad, currentPolicy, SEED)];
        expect(chosen.all.value, JSON.stringify({ chosen, current })).to.be.at.least(current.all.value);
    });
});
