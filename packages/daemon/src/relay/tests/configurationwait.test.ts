/** Some daemon notices soon that all waiting reads of the configuration have gone silent, whichever daemons are heard. */
import type { DaemonLocation } from "@damaskvale/core";
import { expect } from "chai";
import { configurationWaitMilliseconds } from "../configurationwait.js";

const CONFIGURATION_MILLISECONDS = 2_000;

/** Returns the wait of each daemon of a fleet in which all hear each other. Names are `DATA-CENTRE.NAME`. */
function waitsOf(names: readonly string[]): Readonly<Record<string, number>> {
    const daemons: DaemonLocation[] = names.map(name => ({ daemon: name.slice(2), dataCentre: name.slice(0, 1) }));
    return Object.fromEntries(daemons.map(self => {
        const peers = daemons.filter(daemon => daemon !== self);
        return [self.daemon, configurationWaitMilliseconds({ self, peers }, CONFIGURATION_MILLISECONDS)];
    }));
}

describe("wait of a read of the configuration", () => {
    const cases: readonly (readonly [string, readonly string[], Readonly<Record<string, number>>])[] = [
        ["of a daemon without others", ["x.1"], { 1: 900 }],
        ["of two daemons", ["x.1", "x.2"], { 1: 500, 2: 500 }],
        ["of one data centre", ["x.1", "x.2", "x.3", "x.4"], { 1: 500, 2: 500, 3: 8_000, 4: 8_000 }],
        ["of two data centres", ["x.1", "x.2", "y.3", "y.4"], { 1: 500, 2: 8_000, 3: 500, 4: 8_000 }],
        ["of a data centre that is cut off", ["y.3", "y.4", "y.5"], { 3: 500, 4: 500, 5: 8_000 }],
    ];
    cases.forEach(([name, names, waits]) =>
        it(`is short for two daemons at most ${name}`, () => expect(waitsOf(names)).to.deep.equal(waits))
    );

    // Daemons whose readers had lost the store did not read the configuration: review/5, CONFIG.
    it("is short for a daemon whose version no collector confirms", () => {
        const [self, ...peers] = ["3", "1", "2"].map(daemon => ({ daemon, dataCentre: "x" }));
        const reader = { self: self ?? { daemon: "3" }, peers, isUnconfirmed: true };
        expect(configurationWaitMilliseconds(reader, CONFIGURATION_MILLISECONDS)).to.equal(500);
    });

    it("is not longer for a watcher than the time for a change allows", () => {
        const reader = { self: { daemon: "1" }, peers: [{ daemon: "2" }] };
        expect([1_300, 500].map(time => configurationWaitMilliseconds(reader, time))).to.deep.equal([200, 0]);
    });
});
