/** How many unchanged registry entries a collector passes on, and that each one is passed on again after a time. */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import {
    createTargetPages,
    decodeTargetRange,
    encodeTargetRange,
    type TargetPages,
    targetRangeSchema,
} from "../targetpages.js";

const cases: readonly { readonly targets: number; readonly resentAfterMilliseconds: number; }[] = [
    { targets: 80, resentAfterMilliseconds: 20_000 },
    { targets: 880, resentAfterMilliseconds: 61_600 },
];

const entries = (count: number): readonly Target[] =>
    Array.from({ length: count }, (...[, index]) => ({ id: `host-${index}` }) as Target);

/** Returns how many of the entries are passed on when they are read at a moment. */
const passedOn = (pages: TargetPages, targets: readonly Target[], now: number): number =>
    pages.split({
        fromOffset: 0,
        nextOffset: targets.length,
        era: 1,
        changes: targets.map((value, offset) => ({ key: value.id, value, offset })),
    }, now).flatMap(({ changes }) => changes).length;

const target: Target = {
    id: "t",
    service: "pool",
    address: "10.0.0.1:80",
    dataCentre: "x",
    draining: false,
    registered: true,
    slots: 9,
    stagedModels: ["m"],
    busy: false,
    entryNumber: 7,
    coldMilliseconds: 250,
};

describe("pages of registry entries", () => {
    it("name the number of an entry as daemons of earlier versions do, which require it", () => {
        const range = { fromOffset: 0, nextOffset: 1, era: 1, changes: [{ key: "t", value: target }] };
        const sent = targetRangeSchema.parse(JSON.parse(JSON.stringify(encodeTargetRange(range))));
        expect(sent.changes[0]?.value?.orderSequence).to.equal(7);
        expect(decodeTargetRange(sent)).to.deep.equal(range);
    });

    cases.forEach(({ targets, resentAfterMilliseconds }) =>
        it(`pass ${targets} unchanged entries on again only after ${resentAfterMilliseconds} ms`, () => {
            const pages = createTargetPages();
            const read = entries(targets);
            expect(passedOn(pages, read, 0)).to.equal(targets);
            expect(passedOn(pages, read, resentAfterMilliseconds - 1)).to.equal(0);
            expect(passedOn(pages, read, resentAfterMilliseconds)).to.equal(targets);
        })
    );
});
