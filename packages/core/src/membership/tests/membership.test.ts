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

const member = (daemon: string, fields: Partial<MemberInfo> = {}): MemberInfo => ({
    daemon,
    dataCentre: "dc",
    address: `127.0.0.1:${daemon.length}`,
    incarnation: "1",
    revision: 0,
    state: "alive",
    ...fields,
});
const membershipOf = (...others: MemberInfo[]) => mergeMembers(createMembership(member("self"), 0), others, 0);
const stateOf = (membership: Membership, daemon: string) => membership.members.get(daemon)?.info.state;
const ticks = (membership: Membership, from: number, to: number): Membership =>
    [...Array(Math.floor((to - from) / 250)).keys()].map(index => from + (index + 1) * 250).reduce(
        tick,
        membership,
    );

describe("membership", () => {
    it("suspects a member 1 s after an unacknowledged probe and declares it dead 3 s later, not earlier", () => {
        const probed = chooseProbes(membershipOf(member("a")), new Set(["a"]), 1, 1, 0).membership;
        const states = [750, 1_000, 3_750, 4_000].map(now => stateOf(ticks(probed, 0, now), "a"));
        expect(states).to.deep.equal(["alive", "suspect", "suspect", "dead"]);
    });

    it("does not suspect a member that acknowledged the probe", () => {
        const probed = chooseProbes(membershipOf(member("a")), new Set(["a"]), 1, 1, 0).membership;
        expect(stateOf(ticks(recordAcknowledgement(probed, "a"), 0, 5_000), "a")).to.equal("alive");
    });

    it("does not suspect others after a pause of its own process", () => {
        const probed = chooseProbes(membershipOf(member("a")), new Set(["a"]), 1, 1, 0).membership;
        expect(stateOf(tick(probed, 60_000), "a")).to.equal("alive");
    });

    const merges: { fault: string; held: MemberInfo; received: MemberInfo; state: string; }[] = [
        {
            fault: "outdated information revives a dead member",
            held: member("a", { state: "dead" }),
            received: member("a"),
            state: "dead",
        },
        {
            fault: "a refutation is ignored",
            held: member("a", { state: "dead" }),
            received: member("a", { revision: 1 }),
            state: "alive",
        },
        {
            fault: "an older revision declares a member dead",
            held: member("a", { revision: 2 }),
            received: member("a", { revision: 1, state: "dead" }),
            state: "alive",
        },
        {
            fault: "a suspicion is ignored",
            held: member("a"),
            received: member("a", { state: "suspect" }),
            state: "suspect",
        },
    ];

    merges.forEach(({ fault, held, received, state }) => {
        it(`guards against: ${fault}`, () => {
            const known = mergeMembers(membershipOf(member("a")), [held], 0);
            expect(stateOf(mergeMembers(known, [received], 1), "a")).to.equal(state);
        });
    });

    it("refutes false information about itself and about an earlier process of the same name", () => {
        const suspected = mergeMembers(membershipOf(), [member("self", { state: "dead", revision: 4 })], 1);
        expect(suspected.self).to.include({ revision: 5, state: "alive" });
        expect(mergeMembers(membershipOf(), [member("self", { incarnation: "0" })], 1).self.revision).to.equal(1);
        const left = leave(membershipOf());
        expect(mergeMembers(left, [left.self], 1).self.revision).to.equal(left.self.revision);
    });

    it("sends a suspect member its own state, and recent changes before other members", () => {
        const names = [...Array(20).keys()].map(index => member(`m${index}`));
        const transmitted = [...Array(100).keys()].reduce<Membership>(
            (state, index) => chooseGossip(state, "x", index).membership,
            membershipOf(...names),
        );
        const changed = mergeMembers(transmitted, [member("m7", { state: "suspect" })], 1);
        expect(chooseGossip(changed, "m7", 1).members.map(item => item.daemon)).to.include("m7");
        expect(chooseGossip(changed, "x", 1).members.map(item => item.daemon).slice(0, 2)).to.deep.equal([
            "self",
            "m7",
        ]);
    });

    it("probes every live member and one dead member per round, so that healed partitions are found", () => {
        const known = membershipOf(member("a"), member("b"), member("c"));
        const dead = mergeMembers(known, [member("c", { state: "dead" })], 0);
        expect(chooseProbes(dead, new Set(["a", "b"]), 9, 3, 0).targets.toSorted()).to.deep.equal(["a", "b", "c"]);
    });

    it("links to all members of the local data centre and to two of each remote one", () => {
        const far = ["x1", "x2", "x3"].map(name => member(name, { dataCentre: "far" }));
        const links = chooseLinks(member("self"), [member("self"), member("a"), member("b"), ...far]);
        expect(links.filter(link => link.dataCentre === "dc").length).to.equal(2);
        expect(links.filter(link => link.dataCentre === "far").length).to.equal(2);
    });

    it("moves only the keys of a removed name", () => {
        const names = ["a", "b", "c", "d"];
        const moved = [...Array(100).keys()].map(String).filter(key => {
            const first = rendezvous(key, names, 1)[0];
            return first !== "d" && rendezvous(key, names.slice(0, 3), 1)[0] !== first;
        });
        expect(moved).to.deep.equal([]);
    });
});
