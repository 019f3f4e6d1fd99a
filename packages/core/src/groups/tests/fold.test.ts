import { expect } from "chai";
import { type GroupsBody, groupsFold, type GroupsState } from "../fold.js";

const members = (revision: number, ...hosts: string[]) => hosts.map(host => ({ host, revision }));
const form = (group: string, hosts: { host: string; revision: number; }[], holder = "d1"): GroupsBody => ({
    kind: "form",
    group,
    model: "m",
    version: "1",
    members: hosts,
    leader: hosts[0]?.host ?? "",
    holder,
});
const formed = form("g", members(0, "a", "b"));
const takeover = (renewalOffset: number, fence = 0): GroupsBody => ({
    kind: "takeover",
    group: "g",
    fence,
    previousHolder: "d1",
    renewalOffset,
    holder: "d2",
});
const renew: GroupsBody = { kind: "renew", holder: "d1", durationMilliseconds: 10_000 };
const dissolve = (fence: number): GroupsBody => ({ kind: "dissolve", group: "g", fence, reason: "test" });

/**
 * Applies record bodies at offsets from 0. Each body comes with its author as `daemon` or `daemon/incarnation`. Returns
 * the resulting codes and the final state.
 */
function fold(records: readonly (readonly [GroupsBody, string])[]): { codes: string[]; state: GroupsState; } {
    let state = groupsFold.initial();
    const codes = records.map(([body, by], offset) => {
        const [daemon = "", incarnation = "1"] = by.split("/");
        const author = { daemon, incarnation };
        const verdict = groupsFold.apply(state, body, { offset, time: 0, id: `${offset}`, author });
        state = verdict.kind === "accepted" ? verdict.state : state;
        return verdict.kind === "accepted" ? "accepted" : verdict.issue.code;
    });
    return { codes, state };
}

describe("groupsFold", () => {
    const cases: { guards: string; records: (readonly [GroupsBody, string])[]; last: string; }[] = [
        {
            guards: "a host in two groups",
            records: [[formed, "d1"], [form("h", members(1, "a")), "d1"]],
            last: "host_owned",
        },
        {
            guards: "forming a group by a plan from before a host was used and freed",
            records: [[formed, "d1"], [dissolve(0), "d1"], [form("h", members(0, "a")), "d1"]],
            last: "host_changed",
        },
        {
            guards: "the same host twice in one group",
            records: [[form("g", members(0, "a", "a")), "d1"]],
            last: "host_repeated",
        },
        {
            guards: "a group id used twice",
            records: [[formed, "d1"], [form("g", members(0, "c")), "d1"]],
            last: "group_exists",
        },
        {
            guards: "dissolving a group as its former holder",
            records: [[formed, "d1"], [takeover(0), "d2"], [dissolve(0), "d1"]],
            last: "group_changed",
        },
        {
            guards: "dissolving a group as another daemon",
            records: [[formed, "d1"], [dissolve(0), "d2"]],
            last: "not_holder",
        },
        {
            guards: "dissolving a group as another process of the same daemon",
            records: [[formed, "d1/1"], [dissolve(0), "d1/2"]],
            last: "not_holder",
        },
        {
            guards: "a takeover although the holder renewed",
            records: [[formed, "d1"], [renew, "d1"], [takeover(0), "d2"]],
            last: "holder_renewed",
        },
        {
            guards: "the renewal of a later process blocking a takeover from an earlier process",
            records: [[formed, "d1/1"], [renew, "d1/2"], [takeover(0), "d2"]],
            last: "accepted",
        },
        { guards: "a renewal on behalf of another daemon", records: [[renew, "d2"]], last: "not_holder" },
        {
            guards: "the second of two takeovers",
            records: [[formed, "d1"], [takeover(0), "d2"], [takeover(0), "d2"]],
            last: "group_changed",
        },
        {
            guards: "hosts staying owned after a dissolve",
            records: [[formed, "d1"], [dissolve(0), "d1"], [form("h", members(2, "a", "b")), "d1"]],
            last: "accepted",
        },
    ];

    cases.forEach(({ guards, records, last }) => {
        it(`prevents ${guards}`, () => {
            expect(fold(records).codes.at(-1)).to.equal(last);
        });
    });

    it("gives a takeover a new fencing token and the same members, so that old orders are recognised", () => {
        const { state } = fold([[formed, "d1"], [takeover(0), "d2"]]);
        expect(state.groups["g"]).to.include({ fence: 1, holder: "d2" });
        expect(state.groups["g"]?.members).to.deep.equal(["a", "b"]);
    });

    it("removes free hosts and holders without groups after the basis window, so that the state stays bounded", () => {
        const records = Array.from({ length: 4200 }, () => [renew, "d1"] as const);
        const { state } = fold([[formed, "d9"], [dissolve(0), "d9"], ...records]);
        expect(Object.keys(state.hosts)).to.deep.equal([]);
        expect(Object.keys(state.renewals)).to.deep.equal(["d1/1"]);
        expect(groupsFold.state.safeParse(state).success).to.equal(true);
    });
});
