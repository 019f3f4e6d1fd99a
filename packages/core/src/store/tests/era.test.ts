/** Only a higher era ends what was numbered before; bad statements of the store change nothing. */
import { expect } from "chai";
import { createStoreEra, type EraStatement, fencingTokenOf, generationOf, type IgnoredEraReason } from "../era.js";

interface Answer {
    readonly statement: EraStatement;
    /** Era that was known when the request was sent; without it, the one known now. */
    readonly sentInEra?: number;
}

const missing: Answer = { statement: { kind: "missing" } };
const unreadable: Answer = { statement: { kind: "unreadable", text: "x" } };
const stated = (era: number, sentInEra?: number): Answer => ({ statement: { kind: "stated", era }, sentInEra });

const cases: readonly {
    readonly name: string;
    readonly answers: readonly Answer[];
    readonly current: number;
    readonly risen: readonly number[];
    readonly reported: readonly IgnoredEraReason[];
    readonly ignored: number;
    /** Era of each answer. */
    readonly eras: readonly number[];
}[] = [
    {
        name: "no answer states an era",
        answers: [missing, missing],
        current: 0,
        risen: [],
        reported: ["missing"],
        ignored: 2,
        eras: [0, 0],
    },
    {
        name: "the first era is stated",
        answers: [stated(4), stated(4)],
        current: 4,
        risen: [],
        reported: [],
        ignored: 0,
        eras: [4, 4],
    },
    {
        name: "the first era is 0",
        answers: [stated(0), stated(1)],
        current: 1,
        risen: [1],
        reported: [],
        ignored: 0,
        eras: [0, 1],
    },
    {
        name: "the era rises twice within seconds",
        answers: [stated(4), stated(5), stated(6)],
        current: 6,
        risen: [5, 6],
        reported: [],
        ignored: 0,
        eras: [4, 5, 6],
    },
    {
        name: "an answer of an earlier era is late",
        answers: [stated(4), stated(5), stated(4, 4), stated(5)],
        current: 5,
        risen: [5],
        reported: [],
        ignored: 0,
        eras: [4, 5, 4, 5],
    },
    {
        name: "a late answer states no era",
        answers: [stated(4), stated(5), { ...missing, sentInEra: 4 }],
        current: 5,
        risen: [5],
        reported: ["missing"],
        ignored: 1,
        eras: [4, 5, 4],
    },
    {
        name: "a late answer states an era between two others",
        answers: [stated(4), stated(6), stated(5, 4)],
        current: 6,
        risen: [6],
        reported: [],
        ignored: 0,
        eras: [4, 6, 5],
    },
    {
        name: "the era falls",
        answers: [stated(5), stated(4), stated(4), stated(5)],
        current: 5,
        risen: [],
        reported: ["lower"],
        ignored: 2,
        eras: [5, 4, 4, 5],
    },
    {
        name: "statements are missing, unreadable or lower, again and again",
        answers: [stated(4), missing, unreadable, stated(3), unreadable, missing, stated(4)],
        current: 4,
        risen: [],
        reported: ["missing", "unreadable", "lower"],
        ignored: 5,
        eras: [4, 4, 4, 3, 4, 4, 4],
    },
];

describe("store era", () => {
    cases.forEach(({ name, answers, eras, ...expected }) => {
        it(`is ${expected.current} when ${name}`, () => {
            const era = createStoreEra();
            const risen: number[] = [];
            const reported: IgnoredEraReason[] = [];
            era.onRisen(value => void risen.push(value));
            era.onIgnored(({ reason }) => void reported.push(reason));
            const observed = answers.map(({ statement, sentInEra }) =>
                era.observe(statement, sentInEra ?? era.current())
            );
            const seen = { current: era.current(), risen, reported, ignored: era.ignoredStatements() };
            expect([observed, seen]).to.deep.equal([eras, expected]);
        });
    });

    it("gives tokens of a later era that are higher whatever its generations", () => {
        expect(fencingTokenOf(5, 1)).to.be.greaterThan(fencingTokenOf(4, 9_999_999));
        expect([generationOf(fencingTokenOf(4, 7), 4), generationOf(fencingTokenOf(4, 7), 5)]).to.deep.equal([7, 0]);
        expect(fencingTokenOf(0, 7)).to.equal(7);
    });
});
