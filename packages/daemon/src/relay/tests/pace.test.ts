/** In a large fleet, daemons read and broadcast less often, so that they do not overload the store and the network. */
import { expect } from "chai";
import { broadcastRounds, registryReadDelayMilliseconds } from "../pace.js";

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

    const rounds: readonly [number, { local: number; remote: number; }][] = [
        [1, { local: 1, remote: 2 }],
        [9, { local: 1, remote: 2 }],
        [76, { local: 2, remote: 5 }],
        [410, { local: 9, remote: 26 }],
    ];
    rounds.forEach(([daemons, expected]) =>
        it(`broadcasts to ${daemons} daemons every ${expected.local} (local) and ${expected.remote} (remote) rounds`, () => {
            expect(broadcastRounds(daemons)).to.deep.equal(expected);
        })
    );
});
