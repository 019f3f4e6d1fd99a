/** Spares hold the weights of the groups that may need them, and are warmed up without being counted as missing. */
import { expect } from "chai";
import type { EngineHost } from "../planinput.js";
import { createDomainPlanner } from "../planner.js";
import type { GroupMembership, Target } from "../types.js";
import { brief, host, input, member, ordersOf, START, whole } from "./domain.js";

describe("loads ahead of a domain", () => {
    const slowLoads = { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) };

    it("forms a group as soon as the last member holds the weights", () => {
        const planner = createDomainPlanner();
        const fields = { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) };
        const holders = ["a", "b"].map(id => host(id, { stagedModels: ["large"] }));
        ordersOf(planner, input([...holders, host("c")], fields));
        expect(brief(ordersOf(planner, input([...holders, host("c")], { ...fields, now: START + 9_000 }))))
            .to.deep.equal(["join a large"]);
        const loaded = input([...holders, host("c", { stagedModels: ["large"] })], { ...fields, now: START + 16_000 });
        expect(brief(ordersOf(planner, loaded))).to.deep.equal(["join a large", "join b large", "join c large"]);
    });

    it("does not have a second spare load the weights of one that is just warmed up", () => {
        const planner = createDomainPlanner();
        const spares = [
            host("e", { stagedModels: ["large"] }),
            host("f", { stagedModels: ["small"], model: "small" }),
        ] as const;
        expect(brief(ordersOf(planner, input([...whole, ...spares], slowLoads)))).to.deep.equal(["join e large"]);
        const warming = host("e", { ...member(0, "joining", "d~large~4.10"), stagedModels: ["large"] });
        const later = { ...slowLoads, now: START + 500 };
        expect(ordersOf(planner, input([...whole, warming, spares[1]], later))).to.deep.equal([]);
    });

    it("does not take a host for a holder of weights that it is about to drop", () => {
        const planner = createDomainPlanner();
        const small = ["e"].map(id => host(id, { stagedModels: ["small"], model: "small" }));
        const spare = host("f", { stagedModels: ["large"], model: "large" });
        const groupsByModel = new Map([["large", 9], ["small", 1]]);
        const fields = { loadsAreQuick: false, groupsByModel };
        expect(brief(ordersOf(planner, input([...small, spare], fields)))).to.deep.equal(["stage f small"]);
        const others = ["a", "b", "c"].map(id => host(id, { stagedModels: ["large"] }));
        const planned = ordersOf(planner, input([...small, spare, ...others], { ...fields, now: START + 3_000 }));
        expect(brief(planned)).to.deep.equal(["join a large", "join b large", "join c large"]);
    });

    it("orders a load again that was refused", () => {
        const planner = createDomainPlanner();
        expect(brief(ordersOf(planner, input([...whole, host("e")])))).to.deep.equal(["stage e large"]);
        planner.recordRefusedLoad("e");
        expect(brief(ordersOf(planner, input([...whole, host("e")], { now: START + 500 }))))
            .to.deep.equal(["stage e large"]);
    });

    it("does not stage a host twice while its load shows no effect", () => {
        const planner = createDomainPlanner();
        ordersOf(planner, input([...whole, host("e")]));
        expect(ordersOf(planner, input([...whole, host("e")], { now: START + 5_000 }))).to.deep.equal([]);
    });

    describe("with a spare that holds the weights", () => {
        const spare = (fields: Partial<Target> = {}): EngineHost => host("e", { stagedModels: ["large"], ...fields });
        const warming = (state: GroupMembership["state"]): Partial<Target> => ({
            model: "large",
            membership: { group: "d~large~4.10", epoch: 10, rank: 0, state },
        });

        it("warms it up and lets it leave as soon as it is ready", () => {
            const planner = createDomainPlanner();
            expect(brief(ordersOf(planner, input([...whole, spare()])))).to.deep.equal(["join e large"]);
            const joining = input([...whole, spare(warming("joining"))], { now: START + 600 });
            expect(brief(ordersOf(planner, joining))).to.deep.equal([]);
            const ready = input([...whole, spare(warming("ready"))], { now: START + 1_700 });
            expect(brief(ordersOf(planner, ready))).to.deep.equal(["leave e"]);
        });

        it("uses it for a group as soon as it has left", () => {
            const planner = createDomainPlanner();
            ordersOf(planner, input([...whole, spare()]));
            ordersOf(planner, input([...whole, spare(warming("ready"))], { now: START + 1_700 }));
            const free = ["f", "g"].map(id => host(id, { stagedModels: ["large"], model: "large" }));
            const planned = ordersOf(
                planner,
                input([...whole, spare({ model: "large" }), ...free], { now: START + 1_800 }),
            );
            expect(brief(planned)).to.deep.equal(["join e large", "join f large", "join g large"]);
        });

        // Engines tell the model of their last group only while they are in it.
        it("does not warm it up again after it has left", () => {
            const planner = createDomainPlanner();
            ordersOf(planner, input([...whole, spare()]));
            ordersOf(planner, input([...whole, spare(warming("ready"))], { now: START + 1_700 }));
            expect(ordersOf(planner, input([...whole, spare()], { now: START + 9_000 }))).to.deep.equal([]);
        });

        it("does not warm up one that has run the model, nor two at a time", () => {
            expect(ordersOf(createDomainPlanner(), input([...whole, spare({ model: "large" })]))).to.deep.equal([]);
            const planner = createDomainPlanner();
            const other = host("f", { stagedModels: ["small"] });
            // Without loads the two cannot form a group.
            const loadsAllowed = 0;
            expect(ordersOf(planner, input([...whole, spare(), other], { loadsAllowed })).length).to.equal(1);
            const later = { loadsAllowed, now: START + 500 };
            expect(ordersOf(planner, input([...whole, spare(warming("joining")), other], later))).to.deep.equal([]);
        });
    });
});
