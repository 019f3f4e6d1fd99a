/** In a large fleet, daemons read the registry less often, so that they do not overload the store. */
import { expect } from "chai";
import { ownReadDelayMilliseconds, registryReadDelayMilliseconds } from "../pace.js";

describe("intervals of a daemon", () => {
    const pauses: readonly [string, number, number, number][] = [
        ["a small fleet reads the registry often", 8, 2_000, 400],
        ["a large fleet reads it less often", 63, 3_000, 1_008],
        ["a very large fleet still detects draining targets in time", 410, 3_000, 1_200],
        ["a short drain notice does not make a small fleet read more often", 8, 500, 400],
    ];
    pauses.forEach(([name, daemons, notice, pause]) =>
        it(name, () => {
            expect(registryReadDelayMilliseconds(daemons, notice)).to.equal(pause);
        })
    );

    const patience: readonly {
        readonly name: string;
        readonly rank?: number;
        readonly range: readonly [number, number];
    }[] = [
        { name: "the first collector", rank: 0, range: [700, 700] },
        { name: "the second collector, after the first one", rank: 1, range: [1_000, 1_000] },
        { name: "the others, after both and spread", range: [1_200, 1_500] },
    ];
    patience.forEach(({ name, rank, range: [least, most] }) =>
        it(`without changes of others, reads are made by ${name}`, () => {
            const delays = [0, 0.999].map(draw => ownReadDelayMilliseconds(rank, 2_000, () => draw));
            expect(delays[0]).to.equal(least);
            expect(delays[1]).to.be.within(least, most);
        })
    );

    it("leaves time for the notice of a draining target when both collectors are lost", () => {
        [2_000, 3_000, 4_000].forEach(notice =>
            expect(ownReadDelayMilliseconds(undefined, notice, () => 1) + 100).to.be.below(notice)
        );
    });
});
