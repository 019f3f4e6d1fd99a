/** Guards against evacuations that are lost or come back when statements arrive late, twice, or after a read of all keys. */
import { expect } from "chai";
import fc from "fast-check";
import { createEvacuations, type EvacuationStatement, type LogPosition } from "../evacuations.js";

const statement = (dataCentre: string, evacuated: boolean, offset: number, era = 0): EvacuationStatement => ({
    dataCentre,
    evacuated,
    era,
    offset,
});

const cases: readonly {
    readonly name: string;
    readonly statements: readonly EvacuationStatement[];
    readonly read?: { readonly evacuated: readonly string[]; readonly position: LogPosition; };
    readonly expected: readonly string[];
}[] = [
    { name: "begins", statements: [statement("b", true, 4)], expected: ["b"] },
    { name: "ends", statements: [statement("b", true, 4), statement("b", false, 7)], expected: [] },
    { name: "ignores a late begin", statements: [statement("b", false, 7), statement("b", true, 4)], expected: [] },
    { name: "ignores a late end", statements: [statement("b", true, 9), statement("b", false, 7)], expected: ["b"] },
    {
        name: "holds two at the same time",
        statements: [statement("b", true, 4), statement("a", true, 5)],
        expected: ["a", "b"],
    },
    {
        name: "lets an era win whose offsets are lower",
        statements: [statement("b", true, 90), statement("b", false, 7, 1)],
        expected: [],
    },
    {
        name: "ends those that a later read of all keys lacks",
        statements: [statement("a", true, 4), statement("b", true, 5)],
        read: { evacuated: ["a"], position: { era: 0, offset: 6 } },
        expected: ["a"],
    },
    {
        name: "keeps those that began after a read of all keys",
        statements: [statement("b", true, 8)],
        read: { evacuated: [], position: { era: 0, offset: 6 } },
        expected: ["b"],
    },
];

describe("evacuations", () => {
    cases.forEach(({ name, statements, read, expected }) => {
        it(name, () => {
            const evacuations = createEvacuations();
            statements.forEach(evacuations.merge);
            if (read !== undefined) {
                evacuations.replaceAll(read.evacuated, read.position);
            }
            expect(evacuations.dataCentres()).to.deep.equal(expected);
        });
    });

    it("reports a change of the state only, not a later statement of the same one", () => {
        const evacuations = createEvacuations();
        const changes = [statement("b", true, 1), statement("b", true, 2), statement("b", false, 3)]
            .map(evacuations.merge);
        expect(changes).to.deep.equal([true, false, true]);
        expect(evacuations.replaceAll(["b"], { era: 0, offset: 5 })).to.deep.equal([statement("b", true, 5)]);
    });

    // A daemon that starts after the end reads no trace of the evacuation; one that was frozen meanwhile still states it.
    it("ignores the begin of an evacuation that a later read of all keys lacked, and takes over a later begin", () => {
        const evacuations = createEvacuations();
        evacuations.replaceAll([], { era: 1, offset: 8 });
        const late = [statement("b", true, 4, 1), statement("b", true, 90)];
        expect(late.map(evacuations.merge)).to.deep.equal([false, false]);
        expect(evacuations.dataCentres()).to.deep.equal([]);
        evacuations.merge(statement("b", true, 9, 1));
        expect(evacuations.dataCentres()).to.deep.equal(["b"]);
    });

    it("bounds what is kept of names that are no longer evacuated", () => {
        const evacuations = createEvacuations();
        evacuations.merge(statement("real", true, 0));
        Array.from({ length: 1_000 }, (...[, index]) => evacuations.merge(statement(`x${index}`, false, index)));
        expect(evacuations.statements().length).to.be.below(40);
        expect(evacuations.isEvacuated("real")).to.equal(true);
    });

    // A datagram of 65,507 bytes has to hold them; a message that does not fit is lost with all else that it states.
    it("bounds what is passed on, whatever names the log has, and passes on a later evacuation", () => {
        const evacuations = createEvacuations();
        Array.from({ length: 1_000 }, (...[, index]) => evacuations.merge(statement(`x${index}`, true, index)));
        evacuations.merge(statement("x".repeat(70_000), true, 1_000));
        evacuations.merge(statement("real", true, 1_001));
        expect(JSON.stringify(evacuations.statements()).length).to.be.below(16_000);
        expect(evacuations.statements().map(({ dataCentre }) => dataCentre)).to.include("real");
        expect(evacuations.dataCentres().length).to.equal(1_002);
    });

    it("gives all daemons the same state, in whatever order and how often statements reach them", () => {
        const statements = fc.uniqueArray(
            fc.record({
                dataCentre: fc.constantFrom("a", "b"),
                evacuated: fc.boolean(),
                era: fc.nat(1),
                offset: fc.nat(9),
            }),
            { selector: ({ dataCentre, era, offset }) => [dataCentre, era, offset].join(), maxLength: 12 },
        );
        fc.assert(fc.property(statements, fc.infiniteStream(fc.nat()), (all, order) => {
            const first = createEvacuations();
            const second = createEvacuations();
            all.forEach(first.merge);
            [...all, ...all].map(item => ({ item, key: order.next().value as number }))
                .sort((left, right) => left.key - right.key)
                .forEach(({ item }) => second.merge(item));
            expect(second.dataCentres()).to.deep.equal(first.dataCentres());
        }));
    });
});
