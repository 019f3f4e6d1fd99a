/** The store and the links of a large fleet are not flooded by daemons that each read and tell as often as in a small one. */
import { expect } from "chai";
import { targetsPauseMilliseconds, tellingRounds } from "../pace.js";

describe("pace of a daemon", () => {
    const pauses: readonly [string, number, number, number][] = [
        ["a small fleet reads the registry often", 8, 2_000, 400],
        ["a large fleet reads it less often", 63, 3_000, 1_008],
        ["a very large fleet still learns in time which targets leave", 410, 3_000, 1_200],
        ["a short notice does not make a small fleet read more often", 8, 500, 400],
    ];
    pauses.forEach(([name, daemons, notice, pause]) =>
        it(name, () => {
            expect(targetsPauseMilliseconds(daemons, notice)).to.equal(pause);
        })
    );

    const rounds: readonly [number, { near: number; far: number; }][] = [
        [1, { near: 1, far: 2 }],
        [9, { near: 1, far: 2 }],
        [76, { near: 2, far: 5 }],
        [410, { near: 9, far: 26 }],
    ];
    rounds.forEach(([daemons, expected]) =>
        it(`tells ${daemons} daemons every ${expected.near} and ${expected.far} rounds`, () => {
            expect(tellingRounds(daemons)).to.deep.equal(expected);
        })
    );
});
