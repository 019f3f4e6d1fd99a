import { expect } from "chai";
import { chooseLinks } from "../links.js";
import {
    chooseGossip,
    chooseProbes,
    createMembership,
    leave,
    type MemberInfo,
    type Membership,
    mergeMembers,
    recordAcknowledgement,
    tick,
} from "../membership.js";
import { rendezvous } from "../rendezvous.js";

const news = (daemon: string, fields: Partial<MemberInfo> = {}): MemberInfo => ({
    daemon,
    dataCentre: "dc",
    address: `127.0.0.1:${daemon.length}`,
    incarnation: "1",
    revision: 0,
    state: "alive",
    ...fields,
});
const knowing = (...others: MemberInfo[]) => mergeMembers(createMembership(news("self"), 0), others, 0);
const stateOf = (membership: Membership, daemon: string) => membership.members.get(daemon)?.info.state;
const ticks = (membership: Membership, from: number, to: number): Membership =>
    [...Array(Math.floor((to - from) / 250)).keys()].map(index => from + (index + 1) * 250).reduce(
        tick,
        membership,
    );

describe("membership", () => {
    it("suspects after 1 s without an answer and declares dead 3 s later, not earlier", () => {
        const probed = chooseProbes(knowing(news("a")), new Set(["a"]), 1, 1, 0).membership;
        const states = [750, 1_000, 3_750, 4_000].map(now => stateOf(ticks(probed, 0, now), "a"));
        expect(states).to.deep.equal(["alive", "suspect", "suspect", "dead"]);
    });

    it("does not suspect a member that answered", () => {
        const probed = chooseProbes(knowing(news("a")), new Set(["a"]), 1, 1, 0).membership;
        expect(stateOf(ticks(recordAcknowledgement(probed, "a"), 0, 5_000), "a")).to.equal("alive");
    });

    it("does not blame others for its own pause", () => {
        const probed = chooseProbes(knowing(news("a")), new Set(["a"]), 1, 1, 0).membership;
        expect(stateOf(tick(probed, 60_000), "a")).to.equal("alive");
    });

    const merges: { guards: string; held: MemberInfo; heard: MemberInfo; state: string; }[] = [
        {
            guards: "old news reviving a dead member",
            held: news("a", { state: "dead" }),
            heard: news("a"),
            state: "dead",
        },
        {
            guards: "a refutation ignored",
            held: news("a", { state: "dead" }),
            heard: news("a", { revision: 1 }),
            state: "alive",
        },
        {
            guards: "a suspicion of an older revision",
            held: news("a", { revision: 2 }),
            heard: news("a", { revision: 1, state: "dead" }),
            state: "alive",
        },
        { guards: "a suspicion ignored", held: news("a"), heard: news("a", { state: "suspect" }), state: "suspect" },
    ];

    merges.forEach(({ guards, held, heard, state }) => {
        it(`prevents ${guards}`, () => {
            const known = mergeMembers(knowing(news("a")), [held], 0);
            expect(stateOf(mergeMembers(known, [heard], 1), "a")).to.equal(state);
        });
    });

    it("refutes news about itself, also of an earlier process of the same name", () => {
        const suspected = mergeMembers(knowing(), [news("self", { state: "dead", revision: 4 })], 1);
        expect(suspected.self).to.include({ revision: 5, state: "alive" });
        expect(mergeMembers(knowing(), [news("self", { incarnation: "0" })], 1).self.revision).to.equal(1);
        const left = leave(knowing());
        expect(mergeMembers(left, [left.self], 1).self.revision).to.equal(left.self.revision);
    });

    it("tells a member what it holds against it, and changes before the rest", () => {
        const names = [...Array(20).keys()].map(index => news(`m${index}`));
        const settled = [...Array(100).keys()].reduce<Membership>(
            (state, index) => chooseGossip(state, "x", index).membership,
            knowing(...names),
        );
        const changed = mergeMembers(settled, [news("m7", { state: "suspect" })], 1);
        expect(chooseGossip(changed, "m7", 1).members.map(item => item.daemon)).to.include("m7");
        expect(chooseGossip(changed, "x", 1).members.map(item => item.daemon).slice(0, 2)).to.deep.equal([
            "self",
            "m7",
        ]);
    });

    it("probes every member once a round, and a dead one too, so that healed links are found", () => {
        const known = knowing(news("a"), news("b"), news("c"));
        const dead = mergeMembers(known, [news("c", { state: "dead" })], 0);
        expect(chooseProbes(dead, new Set(["a", "b"]), 9, 3, 0).targets.toSorted()).to.deep.equal(["a", "b", "c"]);
    });

    it("links to all of the own data centre and to two of each other", () => {
        const far = ["x1", "x2", "x3"].map(name => news(name, { dataCentre: "far" }));
        const links = chooseLinks(news("self"), [news("self"), news("a"), news("b"), ...far]);
        expect(links.filter(link => link.dataCentre === "dc").length).to.equal(2);
        expect(links.filter(link => link.dataCentre === "far").length).to.equal(2);
    });

    it("moves only the keys of a name that goes away", () => {
        const names = ["a", "b", "c", "d"];
        const moved = [...Array(100).keys()].map(String).filter(key => {
            const first = rendezvous(key, names, 1)[0];
            return first !== "d" && rendezvous(key, names.slice(0, 3), 1)[0] !== first;
        });
        expect(moved).to.deep.equal([]);
    });
});
