/** Only a higher era ends what was numbered before; bad statements of the store change nothing. */
import { expect } from "chai";
import { createStoreEra, fencingTokenOf, generationOf } from "../era.js";

const cases: readonly {
    readonly name: string;
    readonly texts: readonly (string | undefined)[];
    readonly current: number;
    readonly risen: readonly number[];
    readonly ignored: readonly (string | undefined)[];
}[] = [
    { name: "no answer states an era", texts: [undefined, undefined], current: 0, risen: [], ignored: [] },
    { name: "the first era is stated", texts: [undefined, "4", "4"], current: 4, risen: [], ignored: [] },
    { name: "the era rises twice within seconds", texts: ["4", "5", "6"], current: 6, risen: [5, 6], ignored: [] },
    {
        name: "an answer of an earlier era is late",
        texts: ["4", "5", "4", "5"],
        current: 5,
        risen: [5],
        ignored: ["4"],
    },
    {
        name: "statements are missing or unreadable, again and again",
        texts: ["4", undefined, "x", "-1", "1.5", "x", undefined, "4"],
        current: 4,
        risen: [],
        ignored: [undefined, "x", "-1", "1.5"],
    },
];

describe("store era", () => {
    cases.forEach(({ name, texts, current, risen, ignored }) => {
        it(`is ${current} when ${name}`, () => {
            const era = createStoreEra();
            const seen: { risen: number[]; ignored: (string | undefined)[]; } = { risen: [], ignored: [] };
            era.onRisen(value => void seen.risen.push(value));
            era.onIgnored(text => void seen.ignored.push(text));
            texts.forEach(text => era.observe(text));
            expect([era.current(), seen]).to.deep.equal([current, { risen, ignored }]);
        });
    });

    it("gives tokens of a later era that are higher whatever its generations", () => {
        expect(fencingTokenOf(5, 1)).to.be.greaterThan(fencingTokenOf(4, 9_999_999));
        expect([generationOf(fencingTokenOf(4, 7), 4), generationOf(fencingTokenOf(4, 7), 5)]).to.deep.equal([7, 0]);
        expect(fencingTokenOf(0, 7)).to.equal(7);
    });
});
