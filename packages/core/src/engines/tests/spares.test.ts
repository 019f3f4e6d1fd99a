/** Spares load the weights of the groups that may need them, and still count as spares while they are warmed up. */
import { expect } from "chai";
import type { EngineHost } from "../planinput.js";
import { createDomainPlanner } from "../planner.js";
import type { GroupMembership, Target } from "../types.js";
import { completeGroup, host, input, member, ordersOf, START, summarize } from "./domain.js";

describe("weights loaded in advance", () => {
    const slowLoads = { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) };

    it("forms a group as soon as the last member holds the weights", () => {
        const planner = createDomainPlanner();
        const fields = { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) };
        const holders = ["a", "b"].map(id => host(id, { stagedModels: ["large"] }));
        ordersOf(planner, input([...holders, host("c")], fields));
        expect(summarize(ordersOf(planner, input([...holders, host("c")], { ...fields, now: START + 9_000 }))))
            .to.deep.equal(["join a large"]);
        const loaded = input([...holders, host("c", { stagedModels: ["large"] })], { ...fields, now: START + 16_000 });
        expect(summarize(ordersOf(planner, loaded))).to.deep.equal(["join a large", "join b large", "join c large"]);
    });

    it("does not load the weights of a spare that is being warmed up onto a second spare", () => {
        const planner = createDomainPlanner();
        const spares = [
            host("e", { stagedModels: ["large"] }),
            host("f", { stagedModels: ["small"], model: "small" }),
        ] as const;
        expect(summarize(ordersOf(planner, input([...completeGroup, ...spares], slowLoads)))).to.deep.equal([
            "join e large",
        ]);
        const warming = host("e", { ...member(0, "joining", "d~large~4.10.1"), stagedModels: ["large"] });
        const later = { ...slowLoads, now: START + 500 };
        expect(ordersOf(planner, input([...completeGroup, warming, spares[1]], later))).to.deep.equal([]);
    });

    it("does not count a host as a holder of weights that it is about to drop", () => {
        const planner = createDomainPlanner();
        const small = ["e"].map(id => host(id, { stagedModels: ["small"], model: "small" }));
        const spare = host("f", { stagedModels: ["large"], model: "large" });
        const groupsByModel = new Map([["large", 9], ["small", 1]]);
        const fields = { loadsAreQuick: false, groupsByModel };
        expect(summarize(ordersOf(planner, input([...small, spare], fields)))).to.deep.equal(["stage f small"]);
        const others = ["a", "b", "c"].map(id => host(id, { stagedModels: ["large"] }));
        const planned = ordersOf(planner, input([...small, spare, ...others], { ...fields, now: START + 3_000 }));
        expect(summarize(planned)).to.deep.equal(["join a large", "join b large", "join c large"]);
    });

    it("repeats a refused load", () => {
        const planner = createDomainPlanner();
        expect(summarize(ordersOf(planner, input([...completeGroup, host("e")])))).to.deep.equal(["stage e large"]);
        planner.recordRefusedLoad("e");
        expect(summarize(ordersOf(planner, input([...completeGroup, host("e")], { now: START + 500 }))))
            .to.deep.equal(["stage e large"]);
    });

    it("does not repeat a load that is in progress", () => {
        const planner = createDomainPlanner();
        ordersOf(planner, input([...completeGroup, host("e")]));
        expect(ordersOf(planner, input([...completeGroup, host("e")], { now: START + 5_000 }))).to.deep.equal([]);
    });

    describe("with a spare that holds the weights", () => {
        const spare = (fields: Partial<Target> = {}): EngineHost => host("e", { stagedModels: ["large"], ...fields });
        const warming = (state: GroupMembership["state"]): Partial<Target> => ({
            model: "large",
            membership: { group: "d~large~4.10.1", epoch: 10, rank: 0, state },
        });

        it("warms it up and orders it to leave as soon as it is ready", () => {
            const planner = createDomainPlanner();
            expect(summarize(ordersOf(planner, input([...completeGroup, spare()])))).to.deep.equal(["join e large"]);
            const joining = input([...completeGroup, spare(warming("joining"))], { now: START + 600 });
            expect(summarize(ordersOf(planner, joining))).to.deep.equal([]);
            const ready = input([...completeGroup, spare(warming("ready"))], { now: START + 1_700 });
            expect(summarize(ordersOf(planner, ready))).to.deep.equal(["leave e"]);
        });

        it("uses it for a group as soon as it has left the warm-up group", () => {
            const planner = createDomainPlanner();
            ordersOf(planner, input([...completeGroup, spare()]));
            ordersOf(planner, input([...completeGroup, spare(warming("ready"))], { now: START + 1_700 }));
            const free = ["f", "g"].map(id => host(id, { stagedModels: ["large"], model: "large" }));
            const planned = ordersOf(
                planner,
                input([...completeGroup, spare({ model: "large" }), ...free], { now: START + 1_800 }),
            );
            expect(summarize(planned)).to.deep.equal(["join e large", "join f large", "join g large"]);
        });

        // Engines report the model of their last group only while they are in it.
        it("does not warm it up again after it has left", () => {
            const planner = createDomainPlanner();
            ordersOf(planner, input([...completeGroup, spare()]));
            ordersOf(planner, input([...completeGroup, spare(warming("ready"))], { now: START + 1_700 }));
            expect(ordersOf(planner, input([...completeGroup, spare()], { now: START + 9_000 }))).to.deep.equal([]);
        });

        it("does not warm up a spare that has run the model, nor two spares at a time", () => {
            expect(ordersOf(createDomainPlanner(), input([...completeGroup, spare({ model: "large" })]))).to.deep.equal(
                [],
            );
            const planner = createDomainPlanner();
            const other = host("f", { stagedModels: ["small"] });
            // While no loads are allowed, the two spares cannot form a group.
            const loadsAllowed = 0;
            expect(ordersOf(planner, input([...completeGroup, spare(), other], { loadsAllowed })).length).to.equal(1);
            const later = { loadsAllowed, now: START + 500 };
            expect(ordersOf(planner, input([...completeGroup, spare(warming("joining")), other], later))).to.deep.equal(
                [],
            );
        });
    });
});
