/** Draining targets get no requests, and hosts that only lost their connection to the store stay in their groups. */
import type { RelayConfiguration, Target } from "@damaskvale/core";
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createRelayState } from "../state.js";
import type { RelayState } from "../statetypes.js";

const target = (id: string, fields: Partial<Target> = {}): Target => ({
    id,
    service: "pool",
    address: `${id}.example:80`,
    dataCentre: "a",
    draining: false,
    registered: true,
    slots: 6,
    stagedModels: [],
    busy: false,
    entryNumber: 0,
    ...fields,
});
const head = target("h", {
    domain: "d",
    model: "m",
    membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "open" },
});
const configuration = (version: number): RelayConfiguration => ({
    version,
    routes: [],
    services: [{
        name: "pool",
        healthPath: "/",
        maximumConnections: 9,
        engine: { models: [{ name: "m", size: 1 }] } as never,
    }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
});

describe("relay state", () => {
    let clock: Clock;
    let state: RelayState;
    beforeEach(() => {
        clock = install();
        state = createRelayState();
        state.applyConfiguration(configuration(2));
    });
    afterEach(() => clock.uninstall());

    const serving = (): string[] => state.servingTargets("pool").map(({ id }) => id);
    const heads = (): (string | undefined)[] => state.servingGroups("pool", "m").map(group => group.head.id);

    it("never goes back to an older configuration", () => {
        expect(state.applyConfiguration(configuration(1))).to.equal(false);
        expect(state.lookup()?.configuration.version).to.equal(2);
    });

    it("does not serve from a draining target", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p", value: target("p", { draining: true }) }]);
        expect(serving()).to.deep.equal([]);
    });

    it("drops a plain target one second after its entry was removed, within the bound for draining", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p" }]);
        expect(serving()).to.deep.equal(["p"]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal([]);
    });

    it("keeps a target whose entry lapsed during a store outage and returned", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p" }]);
        clock.tick(500);
        state.applyTargets([{ key: "p", value: target("p") }]);
        clock.tick(5_000);
        expect(serving()).to.deep.equal(["p"]);
    });

    it("does not serve from a head whose entry lapsed, but keeps the host for the planner", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        expect(heads()).to.deep.equal([]);
        expect(state.targets().map(({ id, registered }) => [id, registered])).to.deep.equal([["h", false]]);
    });

    // The new host responds to report requests sent to the lost host's address, so the lost host would look like a member.
    it("drops a host whose entry lapsed when another target is registered at its address", () => {
        const replacement: Target = { ...head, id: "n", membership: undefined };
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: replacement }]);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("drops a host at once when its entry lapses and another target has its address", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "n", value: { ...head, id: "n" } }, { key: "h" }]);
        clock.tick(1_000);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("ignores a delayed entry of a process that another one has replaced at its address", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: { ...head, id: "n", membership: undefined } }]);
        clock.tick(1_500);
        state.applyTargets([{ key: "h", value: head }]);
        expect([heads(), state.targets().map(({ id }) => id)]).to.deep.equal([[], ["n"]]);
    });

    it("ignores a delayed entry of a host that was dropped before another one registered at its address", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.forget("h");
        state.applyTargets([{ key: "n", value: { ...head, id: "n", membership: undefined } }]);
        state.applyTargets([{ key: "h", value: head }]);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("accepts a returning host if only an entry of an unknown service has its address", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.forget("h");
        state.applyTargets([{ key: "x", value: { ...head, id: "x", service: "elsewhere" } }]);
        state.applyTargets([{ key: "h", value: head }]);
        expect(heads()).to.deep.equal(["h"]);
    });

    it("accepts a host that restarts under its id at an address that another one had", () => {
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 1 } }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: { ...head, id: "n" } }, { key: "n" }]);
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 2 } }]);
        expect(state.targetById("h")?.startedAt).to.equal(2);
    });

    it("marks a host as lapsed even if its membership was reported within the second after its removal", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.2", epoch: 2, rank: 0, state: "open" } });
        clock.tick(1_000);
        expect(heads()).to.deep.equal([]);
    });

    it("applies a reported membership until the registry entry of the host changes", () => {
        state.applyTargets([{ key: "h", value: { ...head, membership: undefined } }]);
        state.applyMembership({ host: "h", model: "m", membership: head.membership });
        expect(heads()).to.deep.equal(["h"]);
        state.applyTargets([{ key: "h", value: { ...head, membership: undefined } }]);
        expect(heads()).to.deep.equal([]);
    });

    it("ignores a reported membership that is older than the known one", () => {
        state.applyTargets([{ key: "h", value: head }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.0", epoch: 0, rank: 0, state: "closing" } });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("ignores a reported membership that is still joining when the registry shows a later state", () => {
        state.applyTargets([{ key: "h", value: head }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "joining" } });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("ignores a membership reported by an earlier process of the host", () => {
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 2, membership: undefined } }]);
        state.applyMembership({ host: "h", startedAt: 1, model: "m", membership: head.membership });
        expect(heads()).to.deep.equal([]);
        state.applyMembership({ host: "h", startedAt: 2, model: "m", membership: head.membership });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("stops serving from a target that a full read of the registry no longer contains", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "q", value: target("q") }]);
        state.replaceTargets([target("q")]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal(["q"]);
    });

    const restores: readonly {
        readonly guards: string;
        readonly known: Target;
        readonly copy: readonly Target[];
        readonly serving: boolean;
        readonly after?: number;
    }[] = [
        {
            guards: "dropping a sound target whose entry the copy lacks",
            known: target("p", { startedAt: 1 }),
            copy: [],
            serving: true,
            after: 2_100,
        },
        {
            guards: "keeping a target whose entry is not written again",
            known: target("p", { startedAt: 1 }),
            copy: [],
            serving: false,
            after: 2_300,
        },
        {
            guards: "serving from a draining target that the copy shows as ready",
            known: target("p", { startedAt: 1, draining: true }),
            copy: [target("p", { startedAt: 1 })],
            serving: false,
        },
        {
            guards: "serving from a target whose drained process the copy lacks at first",
            known: target("p", { startedAt: 1, draining: true }),
            copy: [],
            serving: false,
        },
        {
            guards: "refusing a process that started again",
            known: target("p", { startedAt: 1, draining: true }),
            copy: [target("p", { startedAt: 2 })],
            serving: true,
        },
        {
            guards: "going back to an earlier process of a target",
            known: target("p", { startedAt: 2 }),
            copy: [target("p", { startedAt: 1, draining: true })],
            serving: true,
        },
    ];
    restores.forEach(({ guards, known, copy, serving: expected, after = 0 }) => {
        it(`prevents ${guards} after the store came back from an older copy`, () => {
            state.applyTargets([{ key: known.id, value: known }]);
            state.replaceTargets(copy, true);
            clock.tick(after);
            expect(serving()).to.deep.equal(expected ? ["p"] : []);
        });
    });

    it("keeps a target that older copies lack twice within two seconds until the second time has passed", () => {
        state.applyTargets([{ key: "p", value: target("p") }]);
        state.replaceTargets([], true);
        clock.tick(1_500);
        state.replaceTargets([], true);
        clock.tick(1_500);
        expect(serving()).to.deep.equal(["p"]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal([]);
    });

    it("drops a target that an older copy lacks one second after its entry is removed", () => {
        state.applyTargets([{ key: "p", value: target("p") }]);
        state.replaceTargets([], true);
        state.applyTargets([{ key: "p" }]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal([]);
    });

    const notices: readonly {
        readonly guards: string;
        readonly startedAt?: number;
        readonly stated?: number;
        readonly then?: (entry: Target) => void;
        readonly serving: boolean;
    }[] = [
        { guards: "serving from a target that says that it leaves", startedAt: 1, stated: 1, serving: false },
        { guards: "serving from one whose start is unknown", serving: false },
        { guards: "holding a process to the notice of an earlier one", startedAt: 2, stated: 1, serving: true },
        {
            guards: "lifting the notice by an entry that says serving",
            startedAt: 1,
            stated: 1,
            then: entry => state.applyTargets([{ key: "p", value: entry }]),
            serving: false,
        },
        {
            guards: "lifting it by such an entry if the start is unknown",
            then: entry => state.applyTargets([{ key: "p", value: entry }]),
            serving: false,
        },
        {
            guards: "lifting it by an older copy of the store",
            startedAt: 1,
            stated: 1,
            then: entry => state.replaceTargets([entry], true),
            serving: false,
        },
        {
            guards: "lifting it by an entry that lapsed and returned",
            startedAt: 1,
            stated: 1,
            then: entry => {
                state.applyTargets([{ key: "p" }]);
                clock.tick(1_000);
                state.applyTargets([{ key: "p", value: entry }]);
            },
            serving: false,
        },
        {
            guards: "losing a notice that is read while the entry has lapsed",
            startedAt: 1,
            stated: 2,
            then: entry => {
                state.applyTargets([{ key: "p" }]);
                clock.tick(1_000);
                state.drain({ target: "p", startedAt: 1 });
                state.applyTargets([{ key: "p", value: entry }]);
            },
            serving: false,
        },
        {
            guards: "holding a new process of the target to it",
            startedAt: 1,
            stated: 1,
            then: entry => state.applyTargets([{ key: "p", value: { ...entry, startedAt: 2 } }]),
            serving: true,
        },
        {
            guards: "holding a target to it that was removed and registered again, if the start is unknown",
            then: entry => {
                state.applyTargets([{ key: "p" }]);
                clock.tick(1_000);
                state.applyTargets([{ key: "p", value: entry }]);
            },
            serving: true,
        },
    ];
    notices.forEach(({ guards, startedAt, stated, then, serving: expected }) => {
        it(`prevents ${guards}`, () => {
            const entry = target("p", { startedAt });
            state.applyTargets([{ key: "p", value: entry }]);
            state.drain({ target: "p", startedAt: stated });
            then?.(entry);
            expect(serving()).to.deep.equal(expected ? ["p"] : []);
        });
    });

    it("keeps another target at the address of one that leaves", () => {
        state.applyTargets([{ key: "p", value: target("p") }, {
            key: "q",
            value: target("q", { address: "p.example:80" }),
        }]);
        state.drain({ target: "p" });
        expect(serving()).to.deep.equal(["q"]);
    });

    it("keeps a leaving host whose entry lapses as a member of its group, so that streams there are not cut", () => {
        state.applyTargets([{ key: "h", value: head }]);
        state.drain({ target: "h" });
        state.applyTargets([{ key: "h" }]);
        clock.tick(1_000);
        expect([heads(), state.targets().map(({ id }) => id)]).to.deep.equal([[], ["h"]]);
    });

    it("keeps a group that the older copy does not know or knows in an earlier state", () => {
        const started = { ...head, startedAt: 1 };
        const earlier = { ...started, membership: { group: "d~m~0.0", epoch: 0, rank: 0, state: "open" } as const };
        [earlier, { ...started, membership: undefined }].forEach(entry => {
            state.applyTargets([{ key: "h", value: started }]);
            state.replaceTargets([entry], true);
            expect(heads()).to.deep.equal(["h"]);
        });
    });
});
