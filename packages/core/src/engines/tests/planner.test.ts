/** Groups are formed from a whole domain, opened only when whole, and taken apart before their members are used again. */
import { expect } from "chai";
import type { DomainPlanInput, EngineHost } from "../planinput.js";
import { createDomainPlanner } from "../planner.js";
import { brief, host, input, member, ordersOf, START, whole, wholeHead, wholeRest } from "./domain.js";

interface Case {
    readonly guards: string;
    readonly hosts: readonly EngineHost[];
    readonly orders: readonly string[];
    readonly fields?: Partial<DomainPlanInput>;
}

const cases: readonly Case[] = [
    {
        guards: "a head opened while one member has not joined and another is counted under two ids",
        hosts: [
            host("a", member(0, "ready")),
            host("b", member(1, "ready")),
            host("b-before", { ...member(1, "ready"), registered: false }),
        ],
        orders: ["leave a"],
    },
    {
        guards: "a group taken apart because a member is counted under two ids",
        hosts: [
            host("a", member(0, "open")),
            host("b", member(1, "ready")),
            host("b-before", { ...member(1, "ready"), registered: false }),
            host("c", member(2, "ready")),
        ],
        orders: [],
    },
    {
        guards: "a domain of which small groups take all hosts before the large one",
        hosts: ["a", "b", "c", "e", "f"].map(id => host(id)),
        orders: ["join a large", "join b large", "join c large", "join e small", "join f small"],
    },
    {
        guards: "groups of the first few hosts of a domain that is still being registered",
        hosts: [host("a"), host("b"), host("c", {}, { knownSince: START - 100 })],
        orders: [],
    },
    {
        guards: "small groups of the hosts that the first of two reads of a slow registry tells",
        hosts: ["a", "b"].map(id => host(id, {}, { knownSince: START - 700 })),
        orders: [],
        fields: { registryDelayMilliseconds: 1_000 },
    },
    { guards: "orders for a group that serves", hosts: whole, orders: [] },
    {
        guards: "a whole group that stays shut",
        hosts: [host("a", member(0, "ready")), ...wholeRest],
        orders: ["open a"],
    },
    {
        guards: "an open order for a group without one of its members",
        hosts: [host("a", member(0, "ready")), host("b", member(1, "ready"))],
        orders: ["leave a"],
    },
    {
        guards: "members that join elsewhere while a late order may still open their head",
        hosts: [host("a", member(0, "ready")), host("b", member(1, "ready")), host("e", { stagedModels: ["large"] })],
        orders: ["leave a"],
    },
    {
        guards: "members of a broken head that join elsewhere before they left",
        hosts: [host("a", member(0, "broken")), ...wholeRest],
        orders: ["leave a"],
    },
    {
        guards: "a group of an earlier owner that is taken apart while a member still loads",
        hosts: [host("a", member(0, "ready")), host("b", member(1, "ready")), host("c", member(2, "joining"))],
        orders: [],
    },
    {
        guards: "members of an open group that join another one before its head left",
        hosts: [wholeHead, host("b", member(1, "ready")), host("e", { stagedModels: ["large"] })],
        orders: ["leave a"],
    },
    {
        guards: "members of a head that is gone but may still be open",
        hosts: [host("b", member(1, "ready")), host("c", member(2, "ready")), host("e", { stagedModels: ["large"] })],
        orders: ["leave b", "leave c"],
    },
    {
        guards: "a group that is taken apart although its silent member only lost this daemon",
        hosts: [wholeHead, host("b", member(1, "ready"), { unreachable: true }), host("c", member(2, "ready"))],
        orders: [],
    },
    {
        guards: "a stalled group with a lost member that stays",
        hosts: [
            wholeHead,
            host("b", member(1, "ready"), { unreachable: true, lost: true }),
            host("c", member(2, "ready")),
        ],
        orders: ["leave a"],
    },
    {
        guards: "orders to a registered member whose address another process has",
        hosts: [
            host("a", member(0, "open"), { lost: true }),
            host("b", member(1, "ready")),
            host("c", member(2, "ready")),
        ],
        orders: ["leave b", "leave c"],
    },
    {
        guards: "a member whose entry lapsed although it works",
        hosts: [wholeHead, host("b", { ...member(1, "ready"), registered: false }), host("c", member(2, "ready"))],
        orders: [],
    },
    {
        guards: "a head whose entry lapsed and that gets no requests any more",
        hosts: [host("a", { ...member(0, "open"), registered: false }, { lapsed: true }), ...wholeRest],
        orders: ["close a"],
    },
    {
        guards: "a group that is closed before its head can register again after a partition",
        hosts: [host("a", { ...member(0, "open"), registered: false }), ...wholeRest],
        orders: [],
    },
    {
        guards: "a group with a draining member that goes on until it breaks",
        hosts: [wholeHead, host("b", { ...member(1, "ready"), draining: true }), host("c", member(2, "ready"))],
        orders: ["close a"],
    },
    {
        guards: "a smaller group that is formed while members of another one still leave",
        hosts: [
            host("a", { stagedModels: ["large"] }),
            host("e", { stagedModels: ["large"] }),
            host("b", member(1, "ready")),
            host("c", member(2, "ready")),
        ],
        orders: ["leave b", "leave c"],
    },
    {
        guards: "a mix chosen while the effect of an order is not known",
        hosts: [host("a"), host("b"), host("c", {}, { orderPending: true })],
        orders: ["stage a large", "stage b small"],
    },
    {
        guards: "a spare host without weights",
        hosts: [...whole, host("e")],
        orders: ["stage e large"],
    },
    {
        guards: "more loads than the weight store allows",
        hosts: ["a", "b", "c"].map(id => host(id)),
        orders: [],
        fields: { loadsAllowed: 0 },
    },
    {
        guards: "a spare of the large group that loads weights for a small group",
        hosts: [...whole, host("e", { stagedModels: ["large"] }), host("f")],
        orders: ["stage f large"],
        fields: { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) },
    },
    {
        guards: "members of a broken group that load other weights while one host is missing",
        hosts: [
            ...["a", "b"].map(id => host(id, { stagedModels: ["large"] })),
            host("e", { stagedModels: ["small"] }),
        ],
        orders: ["stage e large"],
        fields: { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) },
    },
    {
        guards: "members that wait in a group for one that loads",
        hosts: [...["a", "b"].map(id => host(id, { stagedModels: ["large"] })), host("c")],
        orders: ["stage c large"],
        fields: { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) },
    },
    {
        guards: "a spare that holds other weights than those of the group that needs it most",
        hosts: [...whole, host("e", { stagedModels: ["small"] })],
        orders: ["stage e large"],
        fields: { loadsAreQuick: false, groupsByModel: new Map([["large", 4], ["small", 4]]) },
    },
    {
        guards: "a group of staged hosts that waits for an allowance it does not need",
        hosts: ["a", "b", "c"].map(id => host(id, { stagedModels: ["large"] })),
        orders: ["join a large", "join b large", "join c large"],
        fields: { loadsAllowed: -5 },
    },
];

describe("createDomainPlanner", () => {
    cases.forEach(({ guards, hosts, orders, fields }) => {
        it(`prevents ${guards}`, () => {
            const planned = ordersOf(createDomainPlanner(), input(hosts, fields));
            expect(brief(planned)).to.deep.equal([...orders].sort());
        });
    });

    it("takes a registered host as head, because requests go there", () => {
        const hosts = [
            host("a", { stagedModels: ["large"], registered: false }),
            host("b", { stagedModels: ["large"] }),
            host("c", { stagedModels: ["large"] }),
        ];
        const planned = ordersOf(createDomainPlanner(), input(hosts));
        expect(planned[0]).to.deep.include({ kind: "join", members: ["b", "c", "a"] });
    });

    it("does not ask hosts twice while they do not report the group yet", () => {
        const planner = createDomainPlanner();
        const hosts = ["a", "b", "c"].map(id => host(id));
        ordersOf(planner, input(hosts));
        expect(ordersOf(planner, input(hosts, { now: START + 500 }))).to.deep.equal([]);
    });

    it("asks a member again whose join was refused, before the group is given up", () => {
        const planner = createDomainPlanner();
        const hosts = ["a", "b", "c"].map(id => host(id, { stagedModels: ["large"] }));
        ordersOf(planner, input(hosts));
        const joining = (id: string, rank: number): EngineHost => host(id, member(rank, "joining", "d~large~4.10"));
        const [, , last = host("c")] = hosts;
        const waiting = input([joining("a", 0), joining("b", 1), { ...last, orderPending: true }], {
            now: START + 100,
        });
        expect(brief(ordersOf(planner, waiting))).to.deep.equal([]);
        const [order] = ordersOf(planner, input([joining("a", 0), joining("b", 1), last], { now: START + 500 }));
        expect(order).to.deep.include({ kind: "join", host: "c", group: "d~large~4.10", members: ["a", "b", "c"] });
    });

    it("gives a group of another owner another name", () => {
        const nameOf = (fencingToken: number): unknown => {
            const [order] = ordersOf(
                createDomainPlanner(),
                input(["a", "b", "c"].map(id => host(id)), { fencingToken }),
            );
            return order !== undefined && "group" in order ? order.group : undefined;
        };
        expect(nameOf(4)).to.not.equal(nameOf(5));
    });
});
