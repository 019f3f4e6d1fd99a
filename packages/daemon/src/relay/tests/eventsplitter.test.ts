/** The splitter returns only complete events, however their bytes are split. */
import { expect } from "chai";
import fc from "fast-check";
import { createEventSplitter, MAXIMUM_EVENT_BYTES } from "../eventsplitter.js";

const event = (id: number): string => `id: ${id}\ndata: piece ${id}\n\n`;

describe("event splitter", () => {
    it("returns the same events for any split of the bytes", () => {
        fc.assert(
            fc.property(fc.array(fc.nat(60), { maxLength: 8 }), cuts => {
                const text = [1, 2, 3].map(event).join("");
                const splitter = createEventSplitter();
                const bounds = [
                    0,
                    ...cuts.map(cut => Math.min(cut, text.length)).sort((left, right) => left - right),
                    text.length,
                ];
                const events = bounds.slice(1).flatMap((end, index) =>
                    splitter.push(Buffer.from(text.slice(bounds[index], end)))
                );
                expect(events.map(({ id }) => id)).to.deep.equal([1, 2, 3]);
                expect(events.map(({ bytes }) => bytes.toString()).join("")).to.equal(text);
                expect(splitter.hasPartialEvent()).to.equal(false);
            }),
            { seed: 7 },
        );
    });

    it("buffers an incomplete event", () => {
        const splitter = createEventSplitter();
        expect(splitter.push(Buffer.from("id: 1\ndata: x\n"))).to.deep.equal([]);
        expect(splitter.hasPartialEvent()).to.equal(true);
    });

    it("finds the id of an event that begins with another field", () => {
        const [first] = createEventSplitter().push(Buffer.from("weight-versions: 2\nid: 4\ndata: x\n\n"));
        expect(first?.id).to.equal(4);
    });

    it("takes linear time for an event that arrives in many chunks", () => {
        const millisecondsFor = (chunks: number): number => {
            const splitter = createEventSplitter();
            const startedAt = performance.now();
            Array.from({ length: chunks }).forEach(() => splitter.push(Buffer.from("data: x\n")));
            return performance.now() - startedAt;
        };
        millisecondsFor(1_000);
        // Quadratic time would need 4 GB of copies here.
        expect(millisecondsFor(32_000)).to.be.below(400);
    });

    it("reports an event that exceeds the maximum size, and not one of that size", () => {
        const splitter = createEventSplitter();
        splitter.push(Buffer.alloc(MAXIMUM_EVENT_BYTES, "x"));
        expect(splitter.isOversized()).to.equal(false);
        splitter.push(Buffer.from("x"));
        expect(splitter.isOversized()).to.equal(true);
    });

    const blocks: readonly [string, string, boolean, boolean][] = [
        ["an event with data only", "data: x\n\n", true, true],
        ["an event with an id only", "id: 3\n\n", true, true],
        ["an event that begins with another field", "weight-versions: 2\nid: 4\ndata: x\n\n", true, true],
        ["an event with data without a colon", "data\n\n", true, true],
        ["an event with data without a colon and a carriage return", "data\r\n\n", true, true],
        ["an event that begins with a field without a colon", "event\nid: 4\ndata: x\n\n", true, true],
        ["an event with an id without a colon", "id\ndata: x\n\n", true, true],
        ["an event with an empty line of data", "id: 3\ndata\ndata: x\n\n", true, true],
        ["a type without a colon", "event\n\n", false, true],
        ["a delay without a colon", "retry\n\n", false, true],
        ["an unknown field without a colon", "xyz\n\n", false, false],
        ["a word that begins as a field does", "database\n\n", false, false],
        ["a field name inside a value", "event: x data\n\n", false, true],
        ["a comment", ": keep-alive\n\n", false, true],
        ["empty lines", "\n\n", false, true],
        ["bytes that are no event", "\u0000\u0001xyz\n\n", false, false],
    ];
    blocks.forEach(([name, text, hasContent, isWellFormed]) =>
        it(`finds ${hasContent ? "content" : "no content"} in ${name}`, () => {
            const [event] = createEventSplitter().push(Buffer.from(text));
            expect([event?.hasContent, event?.isWellFormed]).to.deep.equal([hasContent, isWellFormed]);
        })
    );
});
