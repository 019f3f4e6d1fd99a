/** The forecast follows what arrives, and takes neither news nor other priorities for a burst. */
import { expect } from "chai";
import { createModelLoad, type ModelLoad } from "../modelload.js";

const SLOTS = 560;
const SLOT_MILLISECONDS = 1_000;

function play(load: ModelLoad, counts: readonly number[], interval = 100): number {
    return counts.map((inProgress, index) => {
        load.recordArrival(0, index * interval);
        load.recordDecision(true, index * interval);
        return load.forecast({ slots: SLOTS, inProgress, slotMilliseconds: SLOT_MILLISECONDS }, index * interval);
    }).at(-1)?.arrivingPerSecond ?? 0;
}

describe("model load", () => {
    it("expects what ends to arrive again while the load is steady", () => {
        expect(play(createModelLoad(), Array.from({ length: 10 }, () => 340))).to.equal(340);
    });

    it("sees a burst within half a second, from the rise of all requests in progress", () => {
        expect(play(createModelLoad(), [340, 340, 340, 370, 400, 430, 460, 490])).to.be.within(700, 900);
    });

    it("prevents that a daemon that starts takes the requests it learns of for a burst", () => {
        expect(play(createModelLoad(), [2, 3, 320, 320, 322, 320, 321, 320])).to.be.within(300, 360);
    });

    it("prevents that requests found at groups that come and go look like a burst", () => {
        const load = createModelLoad();
        play(load, [340, 340, 340, 340]);
        const forecast = load.forecast({ slots: SLOTS / 2, inProgress: 180, slotMilliseconds: SLOT_MILLISECONDS }, 400);
        expect(forecast.arrivingPerSecond).to.be.within(150, 200);
    });

    it("counts what this daemon refuses to the demand, so that refusals don't look like the end of a burst", () => {
        const load = createModelLoad();
        Array.from({ length: 20 }, () => 20).forEach((gap, index) => load.recordDecision(index % 2 === 0, index * gap));
        const { arrivingPerSecond } = load.forecast(
            { slots: SLOTS, inProgress: 400, slotMilliseconds: SLOT_MILLISECONDS },
            400,
        );
        expect(arrivingPerSecond).to.be.within(600, 850);
    });
});
