/** Groups are formed of the hosts with which they serve soonest. */
import { expect } from "chai";
import type { ModelProfile } from "../../routes/types.js";
import { formGroups } from "../forming.js";
import { PendingOperations } from "../pendingoperations.js";
import type { Target } from "../types.js";
import { host, input, models, START } from "./domain.js";

const [large] = models as [ModelProfile, ...ModelProfile[]];
const holders = ["a", "b"].map(id => host(id, { stagedModels: ["large"] }).target);
const loading = (fields: Partial<Target> = {}): Target => host("c", { busy: true, ...fields }).target;

interface Case {
    readonly guards: string;
    readonly others: readonly Target[];
    /** Host that completes the group. */
    readonly taken: string;
}

const cases: readonly Case[] = [
    {
        guards: "an empty host that begins to load in place of one that loads already, although its entry lapsed",
        others: [host("e").target, loading({ registered: false })],
        taken: "c",
    },
    {
        guards: "a host that loads in place of one that holds the weights, although its entry lapsed",
        others: [loading(), host("e", { stagedModels: ["large"], registered: false }).target],
        taken: "e",
    },
    {
        guards: "a host that drops other weights in place of an empty one",
        others: [host("d", { stagedModels: ["small"] }).target, host("e").target],
        taken: "e",
    },
];

describe("members of a new group", () => {
    cases.forEach(({ guards, others, taken }) =>
        it(`prevent ${guards}`, () => {
            const pending = new PendingOperations();
            pending.recordLoad(loading(), large, START);
            const round = input([], { loadsAreQuick: false });
            const { idle } = formGroups(round, new Map([["large", 1]]), [...holders, ...others], pending);
            expect([...others].filter(target => !idle.includes(target)).map(({ id }) => id)).to.deep.equal([taken]);
        })
    );
});
