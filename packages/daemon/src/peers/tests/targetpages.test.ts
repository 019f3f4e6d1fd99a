/** How many unchanged registry entries a collector passes on, and that each one is passed on again after a time. */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import { createTargetPages, type TargetPages } from "../targetpages.js";

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

describe("pages of registry entries", () => {
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
