/** Targets that leave get no requests, and hosts that only lost the store stay in their groups. */
import type { RelayConfiguration, Target } from "@damaskvale/core";
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createRelayState, type RelayState } from "../state.js";

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
    orderSequence: 0,
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
    const heads = (): (string | undefined)[] => state.servingGroups("pool", "m").map(group => group.head?.id);

    it("never goes back to an older configuration", () => {
        expect(state.applyConfiguration(configuration(1))).to.equal(false);
        expect(state.lookup()?.configuration.version).to.equal(2);
    });

    it("sends nothing to a target from the moment it drains", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p", value: target("p", { draining: true }) }]);
        expect(serving()).to.deep.equal([]);
    });

    it("forgets a plain target a second after its entry was removed, within the bound of draining", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p" }]);
        expect(serving()).to.deep.equal(["p"]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal([]);
    });

    it("keeps a target whose entry lapsed with the store and came back", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "p" }]);
        clock.tick(500);
        state.applyTargets([{ key: "p", value: target("p") }]);
        clock.tick(5_000);
        expect(serving()).to.deep.equal(["p"]);
    });

    it("sends nothing to a head whose entry lapsed, but keeps the host for the planner", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        expect(heads()).to.deep.equal([]);
        expect(state.targets().map(({ id, registered }) => [id, registered])).to.deep.equal([["h", false]]);
    });

    // The newcomer answers reports sent to the lost host's address, which would make the lost host look like a member.
    it("forgets a host whose entry lapsed when another target is registered at its address", () => {
        const newcomer: Target = { ...head, id: "n", membership: undefined };
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: newcomer }]);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("forgets a host at once when its entry lapses and its address is already taken", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "n", value: { ...head, id: "n" } }, { key: "h" }]);
        clock.tick(1_000);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("ignores a late entry of a process whose address another one has taken over", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: { ...head, id: "n", membership: undefined } }]);
        clock.tick(1_500);
        state.applyTargets([{ key: "h", value: head }]);
        expect([heads(), state.targets().map(({ id }) => id)]).to.deep.equal([[], ["n"]]);
    });

    it("ignores a late entry of a host that was forgotten before another one registered at its address", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.forget("h");
        state.applyTargets([{ key: "n", value: { ...head, id: "n", membership: undefined } }]);
        state.applyTargets([{ key: "h", value: head }]);
        expect(state.targets().map(({ id }) => id)).to.deep.equal(["n"]);
    });

    it("takes a host back whose address only an entry of an unknown service names", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        clock.tick(1_000);
        state.forget("h");
        state.applyTargets([{ key: "x", value: { ...head, id: "x", service: "elsewhere" } }]);
        state.applyTargets([{ key: "h", value: head }]);
        expect(heads()).to.deep.equal(["h"]);
    });

    it("takes a host back that starts again under its id at an address that another one had", () => {
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 1 } }, { key: "h" }]);
        clock.tick(1_000);
        state.applyTargets([{ key: "n", value: { ...head, id: "n" } }, { key: "n" }]);
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 2 } }]);
        expect(state.targetById("h")?.startedAt).to.equal(2);
    });

    it("lapses a host whose membership was told within the second after its removal", () => {
        state.applyTargets([{ key: "h", value: head }, { key: "h" }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.2", epoch: 2, rank: 0, state: "open" } });
        clock.tick(1_000);
        expect(heads()).to.deep.equal([]);
    });

    it("takes a told membership until the registry tells a newer one", () => {
        state.applyTargets([{ key: "h", value: { ...head, membership: undefined } }]);
        state.applyMembership({ host: "h", model: "m", membership: head.membership });
        expect(heads()).to.deep.equal(["h"]);
        state.applyTargets([{ key: "h", value: { ...head, membership: undefined } }]);
        expect(heads()).to.deep.equal([]);
    });

    it("ignores a told membership that is older than the known one", () => {
        state.applyTargets([{ key: "h", value: head }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.0", epoch: 0, rank: 0, state: "closing" } });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("ignores a told membership that has not joined yet when the registry shows that it has", () => {
        state.applyTargets([{ key: "h", value: head }]);
        state.applyMembership({ host: "h", membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "joining" } });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("ignores a membership that was told of an earlier start of the host", () => {
        state.applyTargets([{ key: "h", value: { ...head, startedAt: 2, membership: undefined } }]);
        state.applyMembership({ host: "h", startedAt: 1, model: "m", membership: head.membership });
        expect(heads()).to.deep.equal([]);
        state.applyMembership({ host: "h", startedAt: 2, model: "m", membership: head.membership });
        expect(heads()).to.deep.equal(["h"]);
    });

    it("marks as lapsed what a new reading of the registry does not hold", () => {
        state.applyTargets([{ key: "p", value: target("p") }, { key: "q", value: target("q") }]);
        state.replaceTargets([target("q")]);
        clock.tick(1_000);
        expect(serving()).to.deep.equal(["q"]);
    });
});
