/** A group that may serve is ended for a missing member only if that member is shown to be missing. */
import { expect } from "chai";
import type { DomainPlanInput, EngineHost } from "../planinput.js";
import { createDomainPlanner } from "../planner.js";
import type { MembershipState } from "../types.js";
import { completeGroup, groupHead, host, input, member, ordersOf, START, summarize } from "./domain.js";

interface Case {
    readonly guards: string;
    readonly hosts: readonly EngineHost[];
    readonly orders: readonly string[];
}

const MAXIMUM_DOUBT_MILLISECONDS = 8_000;
const second = host("b", member(1, "ready"));

const cases: readonly Case[] = [
    ...["open", "closing"].map((state): Case => ({
        guards: `dissolving a group that is ${state} while the state of a host is unknown`,
        hosts: [
            host("a", member(0, state as MembershipState)),
            second,
            host("c", {}, { orderPending: true, statedAt: undefined }),
        ],
        orders: [],
    })),
    {
        guards: "dissolving a group because of a statement from before it was seen",
        hosts: [groupHead, second, host("c", {}, { orderPending: true, statedAt: START - 1 })],
        orders: [],
    },
    {
        guards: "members leaving a group whose head may be a host of unknown state",
        hosts: [
            second,
            host("c", member(2, "ready")),
            host("a", {}, { orderPending: true, statedAt: undefined }),
        ],
        orders: [],
    },
    {
        guards: "members waiting for a statement of a head that is known to have left",
        hosts: [
            second,
            host("c", member(2, "ready")),
            host("a", { leftEpoch: 9 }, { orderPending: true, statedAt: undefined }),
        ],
        orders: ["leave b", "leave c"],
    },
    {
        guards: "waiting for the statement of a lost host",
        hosts: [groupHead, second, host("c", {}, { lost: true, statedAt: undefined })],
        orders: ["leave a"],
    },
    {
        guards: "waiting for statements before a group is dissolved that does not serve",
        hosts: [
            host("a", member(0, "ready")),
            second,
            host("c", {}, { orderPending: true, statedAt: undefined }),
        ],
        orders: ["leave a"],
    },
];

describe("groups that lack a member", () => {
    cases.forEach(({ guards, hosts, orders }) =>
        it(`prevents ${guards}`, () => {
            const planned = ordersOf(createDomainPlanner(), input(hosts));
            expect(summarize(planned)).to.deep.equal([...orders].sort());
        })
    );

    it("are dissolved at once if a member is gone that they had", () => {
        const planner = createDomainPlanner();
        const spare = host("e", { stagedModels: ["large"] }, { orderPending: true, statedAt: undefined });
        ordersOf(planner, input([...completeGroup, spare]));
        const planned = ordersOf(planner, input([...completeGroup.slice(0, 2), spare], { now: START + 500 }));
        expect(summarize(planned)).to.deep.equal(["leave a"]);
    });

    it("require statements of the hosts that may be members, and end after a time without them", () => {
        const planner = createDomainPlanner();
        const silent = host("c", {}, { orderPending: true, statedAt: undefined });
        const roundAt = (now: number): DomainPlanInput => input([groupHead, second, silent], { now });
        const end = START + MAXIMUM_DOUBT_MILLISECONDS;
        expect(planner.plan(roundAt(START)).requiredStatements).to.deep.equal([{ host: "c", since: START }]);
        expect(summarize(ordersOf(planner, roundAt(end)))).to.deep.equal([]);
        expect(summarize(ordersOf(planner, roundAt(end + 1)))).to.deep.equal(["leave a"]);
    });
});
