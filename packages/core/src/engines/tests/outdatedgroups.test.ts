/** A configuration that asks for other groups closes those that serve, and lets their requests end. */
import { expect } from "chai";
import type { ModelProfile } from "../../routes/types.js";
import type { EngineHost } from "../planinput.js";
import { createDomainPlanner } from "../planner.js";
import type { MembershipState } from "../types.js";
import { completeGroup, host, input, member, models, ordersOf, otherMembers, summarize } from "./domain.js";

interface Case {
    readonly guards: string;
    readonly hosts: readonly EngineHost[];
    readonly models: readonly ModelProfile[];
    readonly orders: readonly string[];
}

const modelsWithLargeOf = (size: number): ModelProfile[] =>
    models.map(model => model.name === "large" ? { ...model, size } : model);
const withoutLarge = models.filter(({ name }) => name !== "large");
const groupOfUnstatedSize = (state: MembershipState): EngineHost[] => [
    host("a", member(0, state, "d~large~4.9")),
    host("b", member(1, "ready", "d~large~4.9")),
    host("c", member(2, "ready", "d~large~4.9")),
];

const cases: readonly Case[] = [
    {
        guards: "cutting the streams of a group because its model needs more hosts now",
        hosts: completeGroup,
        models: modelsWithLargeOf(4),
        orders: ["close a"],
    },
    {
        guards: "cutting the streams of a group because its model needs fewer hosts now",
        hosts: completeGroup,
        models: modelsWithLargeOf(2),
        orders: ["close a"],
    },
    {
        guards: "cutting the streams of a group because its model is not configured any more",
        hosts: completeGroup,
        models: withoutLarge,
        orders: ["close a"],
    },
    {
        guards: "cutting the streams of a group whose name does not state its size",
        hosts: groupOfUnstatedSize("open"),
        models: modelsWithLargeOf(4),
        orders: ["close a"],
    },
    {
        guards: "cutting the streams of a group without a stated size because its model is not configured any more",
        hosts: groupOfUnstatedSize("open"),
        models: withoutLarge,
        orders: ["close a"],
    },
    {
        guards: "orders to a group of the configured size whose name does not state it",
        hosts: groupOfUnstatedSize("open"),
        models,
        orders: [],
    },
    {
        guards: "opening a group of a size that is not configured any more",
        hosts: [host("a", member(0, "ready")), ...otherMembers],
        models: modelsWithLargeOf(4),
        orders: ["leave a"],
    },
    {
        guards: "ordering anything to an outdated group whose requests end",
        hosts: [host("a", member(0, "closing")), ...otherMembers],
        models: modelsWithLargeOf(4),
        orders: [],
    },
    {
        guards: "waiting for an outdated group although the free hosts suffice for a new one",
        hosts: [...completeGroup, ...["e", "f"].map(id => host(id, { stagedModels: ["large"] }))],
        models: modelsWithLargeOf(2),
        orders: ["close a", "join e large", "join f large"],
    },
    {
        guards: "keeping an outdated group that lost a member",
        hosts: [
            ...completeGroup.slice(0, 2),
            host("c", member(2, "ready"), { lost: true }),
        ],
        models: modelsWithLargeOf(2),
        orders: ["leave a"],
    },
];

describe("groups that a configuration does not ask for any more", () => {
    cases.forEach(({ guards, hosts, models: configured, orders }) =>
        it(`prevents ${guards}`, () => {
            const planned = ordersOf(createDomainPlanner(), input(hosts, { models: configured }));
            expect(summarize(planned)).to.deep.equal([...orders].sort());
        })
    );
});
