/** The pauses of a stream are compared with a pass, over several events and without the time in which it was not read. */
import { expect } from "chai";
import { createPauseMeter } from "../pausemeter.js";

const PASS_MILLISECONDS = 50;

/** Arrivals as pairs of events and time; the results that are no `undefined`. */
function measure(arrivals: readonly (readonly [events: number, at: number])[]): number[] {
    const meter = createPauseMeter(PASS_MILLISECONDS);
    return arrivals.flatMap(([events, at]) => meter.record(events, at) ?? []);
}

const cases: readonly {
    readonly guards: string;
    readonly arrivals: readonly (readonly [number, number])[];
    readonly ratios: readonly number[];
}[] = [
    { guards: "a result from the first event, which also waits for the prompt", arrivals: [[1, 900]], ratios: [] },
    { guards: "a result from a single long pause", arrivals: [[1, 0], [1, 150]], ratios: [] },
    {
        guards: "more than one result of four pauses",
        arrivals: [[1, 0], [1, 50], [1, 100], [1, 150], [1, 200]],
        ratios: [1],
    },
    { guards: "counting events that arrive together as one", arrivals: [[1, 0], [2, 100], [2, 200]], ratios: [1] },
    { guards: "waiting for four pauses of a stream that is very slow", arrivals: [[1, 0], [1, 500]], ratios: [10] },
];

describe("the pause meter", () => {
    cases.forEach(({ guards, arrivals, ratios }) =>
        it(`guards against ${guards}`, () => expect(measure(arrivals)).to.deep.equal(ratios))
    );

    it("does not count the time in which the stream was not read", () => {
        const meter = createPauseMeter(PASS_MILLISECONDS);
        meter.record(1, 0);
        meter.interrupt();
        expect(meter.record(1, 5_000)).to.equal(undefined);
        expect(meter.record(4, 5_200)).to.equal(1);
    });
});
