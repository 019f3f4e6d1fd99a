/** A statement about the group of a host that arrives late does not replace a later one: incident TWO. */
import type { Target } from "@damaskvale/core";
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createRelayState } from "../state.js";
import type { RelayState } from "../statetypes.js";

const head: Target = {
    id: "h",
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "a",
    draining: false,
    registered: true,
    slots: 6,
    domain: "d",
    model: "m",
    stagedModels: [],
    busy: false,
    entryNumber: 0,
    membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "open" },
};

const serving = { group: "d~m~1.9", epoch: 9, rank: 0, state: "open" } as const;
const served: Target = { ...head, stagedModels: ["m"], entryNumber: 1, membership: serving };

describe("relay state and statements that arrive late", () => {
    let clock: Clock;
    let state: RelayState;
    beforeEach(() => {
        clock = install();
        state = createRelayState();
        state.applyConfiguration({
            version: 1,
            routes: [],
            services: [{
                name: "pool",
                healthPath: "/",
                maximumConnections: 9,
                engine: { models: [{ name: "m", size: 1 }] } as never,
            }],
            limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
        });
    });
    afterEach(() => clock.uninstall());

    const heads = (): (string | undefined)[] => state.servingGroups("pool", "m").map(group => group.head.id);
    const open = (epoch: number): Target["membership"] => ({ group: `d~m~1.${epoch}`, epoch, rank: 0, state: "open" });
    const stale: readonly { readonly guards: string; readonly play: () => void; readonly heads: readonly string[]; }[] =
        [
            {
                guards: "an entry that its process wrote before the last one",
                play: () => {
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 9 } }]);
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 8, membership: undefined } }]);
                },
                heads: ["h"],
            },
            {
                guards: "a read of all entries from before the last one",
                play: () => {
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 9 } }]);
                    state.replaceTargets([{ ...head, entryNumber: 8, membership: undefined }]);
                },
                heads: ["h"],
            },
            {
                guards: "an entry of a group before the one that was reported",
                play: () => {
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 1 } }]);
                    state.applyMembership({ host: "h", membership: open(2) });
                    const closing = { ...head.membership, state: "closing" } as Target["membership"];
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 2, membership: closing } }]);
                },
                heads: ["h"],
            },
            {
                guards: "an entry that is read once more after a report",
                play: () => {
                    const entry = { ...head, membership: undefined };
                    state.applyTargets([{ key: "h", value: entry }]);
                    state.applyMembership({ host: "h", membership: open(2) });
                    clock.tick(2_900);
                    state.applyTargets([{ key: "h", value: entry }]);
                },
                heads: ["h"],
            },
            {
                guards: "a group that the host is reported to have left",
                play: () => {
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 1 } }]);
                    state.applyMembership({ host: "h", leftEpoch: 1 });
                    state.applyTargets([{ key: "h", value: { ...head, entryNumber: 2 } }]);
                },
                heads: [],
            },
            {
                guards: "a late notice that the host left the group before",
                play: () => {
                    state.applyTargets([{ key: "h", value: { ...head, membership: open(2) } }]);
                    state.applyMembership({ host: "h", leftEpoch: 1 });
                },
                heads: ["h"],
            },
        ];
    stale.forEach(({ guards, play, heads: expected }) =>
        it(`keeps the later statement, not ${guards}`, () => {
            play();
            expect(heads()).to.deep.equal(expected);
        })
    );

    it("uses an entry that still stands some time after another one was reported", () => {
        const entry = { ...head, membership: undefined };
        state.applyTargets([{ key: "h", value: entry }]);
        state.applyMembership({ host: "h", membership: open(2) });
        clock.tick(3_100);
        state.applyTargets([{ key: "h", value: entry }]);
        expect(heads()).to.deep.equal([]);
    });

    describe("after a read of all entries, from before the host registered", () => {
        const repeated = (entries: readonly Target[]): void =>
            entries.forEach(value => {
                clock.tick(900);
                state.applyTargets([{ key: "h", value }]);
            });
        const before = [5, 6, 7, 8].map(entryNumber => ({ ...head, entryNumber, membership: undefined }));
        beforeEach(() => state.applyTargets([{ key: "h", value: { ...head, entryNumber: 9 } }]));

        // The planner closes a group whose head is not registered for some 3 s; repeated entries end such a read's gap of up to 6 s.
        it("keeps the host registered, with its group, once its entries from before the known one are repeated", () => {
            state.replaceTargets([]);
            repeated(before);
            expect(heads()).to.deep.equal(["h"]);
        });

        it("keeps it registered once they are repeated although its entry counted as lapsed", () => {
            state.replaceTargets([]);
            clock.tick(2_000);
            repeated(before.slice(3));
            expect(heads()).to.deep.equal(["h"]);
        });

        it("does not register a host again whose entry was removed, by entries from before the removal", () => {
            state.applyTargets([{ key: "h" }]);
            state.replaceTargets(before.slice(0, 1));
            repeated(before.slice(1));
            expect(heads()).to.deep.equal([]);
        });

        it("does not register it again either if a read of all entries lacks it after the removal", () => {
            state.applyTargets([{ key: "h" }]);
            state.replaceTargets([]);
            repeated(before);
            expect(heads()).to.deep.equal([]);
        });
    });

    it("accepts a lower number of an entry from the next process of a host", () => {
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 1, entryNumber: 9, membership: undefined } }]);
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 2, entryNumber: 1 } }]);
        expect(heads()).to.deep.equal(["h"]);
    });
});

describe("late notice of a group that was left", () => {
    let clock: Clock;
    beforeEach(() => {
        clock = install();
    });
    afterEach(() => clock.uninstall());

    // The build before showed the entry again with the next heartbeat, 1.2 s later.
    it("does not show the group for longer than two heartbeats", () => {
        const state = createRelayState();
        const left: Target = { ...served, entryNumber: 2, model: undefined, membership: undefined };
        state.applyTargets([{ key: "h", value: served }]);
        state.applyTargets([{ key: "h", value: left }]);
        state.applyMembership({ host: "h", model: "m", membership: serving });
        [1, 2].forEach(() => {
            clock.tick(1_200);
            state.applyTargets([{ key: "h", value: left }]);
        });
        expect(state.targetById("h")?.membership).to.equal(undefined);
    });

    it("does not show the group at all, since the entry with the higher number left it", () => {
        const state = createRelayState();
        const left: Target = { ...served, entryNumber: 2, model: undefined, membership: undefined };
        state.applyTargets([{ key: "h", value: served }]);
        state.applyTargets([{ key: "h", value: left }]);
        state.applyMembership({ host: "h", model: "m", membership: serving });
        expect(state.targetById("h")?.membership).to.equal(undefined);
    });

    // repeatJoins orders a host back into the group, with the same epoch, that an overlapping owner let it leave.
    it("shows a group that the host joined again under the same name and epoch", () => {
        const state = createRelayState();
        state.applyTargets([{ key: "h", value: served }]);
        state.applyMembership({ host: "h", membership: undefined, leftEpoch: 9 });
        (["joining", "ready", "open"] as const).forEach((step, index) =>
            state.applyTargets([{
                key: "h",
                value: { ...served, entryNumber: 3 + index, membership: { ...serving, state: step } },
            }])
        );
        state.applyMembership({ host: "h", model: "m", membership: serving });
        clock.tick(60_000);
        state.applyTargets([{ key: "h", value: { ...served, entryNumber: 60, slots: 7 } }]);
        expect(state.targetById("h")?.membership?.state).to.equal("open");
    });
});
