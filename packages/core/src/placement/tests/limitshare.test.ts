/** The shares of all daemons add up to at most the target's rate, however much of each other they hear. */
import { expect } from "chai";
import { computeLimitShare, type DaemonLocation } from "../limitshare.js";

const daemonsOf = (count: number): DaemonLocation[] =>
    Array.from({ length: count }, (...[, index]) => ({ daemon: `d${index}`, dataCentre: `z${index % 3}` }));

/** Computes the shares of all daemons; each hears those for which `hears` holds. */
function shares(
    count: number,
    requestsPerSecond: number,
    hears: (self: number, other: number) => boolean = () => true,
): number[] {
    const daemons = daemonsOf(count);
    return daemons.map((self, index) =>
        computeLimitShare({
            target: { id: "t", dataCentre: "z1" },
            requestsPerSecond,
            self,
            reachable: daemons.filter((...[, other]) => other !== index && hears(index, other)),
            knownDaemons: count,
        }).requestsPerSecond
    );
}
const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
const dataCentreOf = (index: number): number => index % 3;

const fleets: readonly { readonly daemons: number; readonly rate: number; }[] = [
    ...[1, 8, 9, 63, 76].flatMap(daemons => [0.1, 0.7, 2.4, 9, 80].map(rate => ({ daemons, rate }))),
    { daemons: 410, rate: 2.4 },
];

describe("computeLimitShare", () => {
    fleets.forEach(({ daemons, rate }) => {
        it(`divides ${rate} requests a second between ${daemons} daemons and bounds their requests at once`, () => {
            const all = shares(daemons, rate);
            expect(sum(all)).to.be.closeTo(rate, 1e-9);
            expect(all.filter(share => share > 0).length).to.be.at.most(2 * rate + 2);
        });
    });

    const partitions: readonly { readonly name: string; readonly hears: (self: number, other: number) => boolean; }[] =
        [
            { name: "data centres cut off from each other", hears: (a, b) => dataCentreOf(a) === dataCentreOf(b) },
            { name: "daemons that hear nobody", hears: () => false },
            { name: "a daemon cut off from all others", hears: (a, b) => (a === 0) === (b === 0) },
        ];
    partitions.forEach(({ name, hears }) =>
        fleets.forEach(({ daemons, rate }) => {
            it(`stays within ${rate} requests a second of ${daemons} daemons, ${name}`, () => {
                expect(sum(shares(daemons, rate, hears))).to.be.at.most(rate + 1e-9);
            });
        })
    );

    it("chooses holders in the data centre of the target first", () => {
        const holders = shares(63, 2.4).flatMap((share, index) => share > 0 ? [dataCentreOf(index)] : []);
        expect(new Set(holders)).to.deep.equal(new Set([1]));
    });

    it("lets a target that takes nothing be asked now and then", () => {
        expect(sum(shares(8, 0))).to.be.closeTo(0.1, 1e-9);
    });

    it("does not take the whole rate when daemons are heard that are not known yet", () => {
        const [self, ...others] = daemonsOf(8);
        const share = computeLimitShare({
            target: { id: "t", dataCentre: "z0" },
            requestsPerSecond: 4,
            self: self as DaemonLocation,
            reachable: others,
            knownDaemons: 1,
        });
        expect(share.requestsPerSecond).to.equal(0.5);
    });
});
