/** When unknown names lead to a read of the announcements. */
import { expect } from "chai";
import { createUnknownDaemons } from "../unknowndaemons.js";

const cases: readonly {
    readonly name: string;
    readonly named: readonly (readonly [atMilliseconds: number, names: readonly string[]])[];
    readonly reads: readonly boolean[];
}[] = [
    {
        name: "a name once, however often it is named",
        named: [[0, ["a"]], [120, ["a"]], [900, ["a"]]],
        reads: [true, false, false],
    },
    { name: "a second name at once", named: [[0, ["a"]], [120, ["a", "b"]]], reads: [true, true] },
    { name: "a name that stays unknown after some seconds", named: [[0, ["a"]], [5_000, ["a"]]], reads: [true, true] },
];

describe("unknown daemons", () => {
    cases.forEach(({ name, named, reads }) =>
        it(`lead to a read for ${name}`, () => {
            const unknown = createUnknownDaemons();
            expect(named.map(([at, names]) => unknown.shouldRead(names, at))).to.deep.equal(reads);
        })
    );
});
