/** Epochs of new groups exceed those that planners gave out, and not those of odd entries. */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import { createEpochs, type Epochs } from "../epochs.js";

const TOKEN = 20_000_004;

const epochsWith = (seen: readonly number[]): Epochs =>
    createEpochs({
        targets: () => seen.map(epoch => ({ membership: { epoch } }) as Target),
        onChange: () => undefined,
    });

describe("epochs", () => {
    const cases: readonly { readonly name: string; readonly seen: readonly number[]; readonly next: number; }[] = [
        { name: "the token", seen: [], next: TOKEN + 1 },
        { name: "all groups", seen: [TOKEN + 7, 3], next: TOKEN + 8 },
        { name: "the groups of planners only", seen: [TOKEN + 7, Number.MAX_SAFE_INTEGER], next: TOKEN + 8 },
    ];
    cases.forEach(({ name, seen, next }) =>
        it(`are above ${name}`, () => expect(epochsWith(seen).next(TOKEN)).to.equal(next))
    );

    it("rise well above a refused one, and further with each refusal", () => {
        const epochs = epochsWith([]);
        epochs.raiseAbove(TOKEN + 1);
        const first = epochs.next(TOKEN);
        epochs.raiseAbove(first);
        expect([first, epochs.next(TOKEN)]).to.deep.equal([TOKEN + 1_002, TOKEN + 2_003]);
    });
});
