/** When unknown names lead to a read of the announcements. */
import { expect } from "chai";
import { createUnknownDaemons } from "../unknowndaemons.js";

const SMALL_FLEET = 9;
const LARGE_FLEET = 85;

const cases: readonly {
    readonly name: string;
    readonly daemons: number;
    readonly named: readonly (readonly [atMilliseconds: number, names: readonly string[]])[];
    /** Time until the read; undefined without one. */
    readonly reads: readonly (number | undefined)[];
}[] = [
    {
        name: "a name once, however often it is named",
        daemons: SMALL_FLEET,
        named: [[0, ["a"]], [120, ["a"]], [900, ["a"]]],
        reads: [0, undefined, undefined],
    },
    {
        name: "a second name at once",
        daemons: SMALL_FLEET,
        named: [[0, ["a"]], [120, ["a", "b"]]],
        reads: [0, 0],
    },
    {
        name: "a name that stays unknown after some seconds",
        daemons: SMALL_FLEET,
        named: [[0, ["a"]], [5_000, ["a"]]],
        reads: [0, 0],
    },
    {
        name: "the names of a large fleet that starts together",
        daemons: LARGE_FLEET,
        named: [[0, ["a"]], [120, ["a", "b"]], [480, ["c"]], [500, ["d"]], [620, ["d"]]],
        reads: [500, undefined, undefined, 500, undefined],
    },
];

describe("unknown daemons", () => {
    cases.forEach(({ name, daemons, named, reads }) =>
        it(`lead to a read for ${name}`, () => {
            const unknown = createUnknownDaemons();
            expect(named.map(([at, names]) => unknown.readAfter(names, daemons, at))).to.deep.equal(reads);
        })
    );
});
