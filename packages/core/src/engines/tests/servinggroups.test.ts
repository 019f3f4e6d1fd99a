/** Requests go to heads that serve, each group counts once, and the group's name tells its model. */
import { expect } from "chai";
import { collectServingGroups } from "../groups.js";
import type { Target } from "../types.js";

const models = [{ name: "m", size: 2, share: 1, pace: 1, loadMilliseconds: 1, warmMilliseconds: 1 }];

const head = (id: string, fields: Partial<Target> = {}): Target => ({
    id,
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 1,
    stagedModels: [],
    busy: false,
    entryNumber: 0,
    membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "open" },
    ...fields,
});

const cases: readonly { readonly guards: string; readonly targets: readonly Target[]; readonly heads: string[]; }[] = [
    {
        guards: "sending requests to a host without a group",
        targets: [head("a", { membership: undefined })],
        heads: [],
    },
    {
        guards: "sending requests to another member than the head",
        targets: [head("a", { membership: { group: "d~m~1.1", epoch: 1, rank: 1, state: "open" } })],
        heads: [],
    },
    {
        guards: "sending requests to a group that is being formed",
        targets: [head("a", { membership: { group: "d~m~1.1", epoch: 1, rank: 0, state: "ready" } })],
        heads: [],
    },
    {
        guards: "beginning requests in a group of another size than the configuration states",
        targets: [1, 2, 3].map(size =>
            head(`of-${size}`, { membership: { group: `d~m~1.${size}.${size}`, epoch: size, rank: 0, state: "open" } })
        ),
        heads: ["of-2"],
    },
    { guards: "sending requests to a draining head", targets: [head("a", { draining: true })], heads: [] },
    { guards: "sending requests to a head whose entry lapsed", targets: [head("a", { registered: false })], heads: [] },
    {
        guards: "counting a group twice after its address was taken over",
        targets: [head("a"), head("b")],
        heads: ["a"],
    },
    {
        guards: "another order of the groups than that of the targets",
        targets: ["a", "b", "c"].map((id, epoch) =>
            head(id, { membership: { group: `d~m~1.${epoch}`, epoch, rank: 0, state: "open" } })
        ),
        heads: ["a", "b", "c"],
    },
];

describe("groups that serve", () => {
    cases.forEach(({ guards, targets, heads }) =>
        it(`guards against ${guards}`, () => {
            expect(collectServingGroups(targets, models).map(group => group.head.id)).to.deep.equal(heads);
        })
    );

    it("run the model in their name, or that of the head if the name tells none", () => {
        const unnamed = head("b", { model: "other", membership: { group: "g", epoch: 2, rank: 0, state: "open" } });
        expect(collectServingGroups([head("a"), unnamed], models).map(({ model }) => model)).to.deep.equal([
            "m",
            "other",
        ]);
    });
});
