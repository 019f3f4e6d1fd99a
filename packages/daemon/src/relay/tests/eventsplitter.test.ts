/** The splitter returns only complete events, however their bytes are split. */
import { expect } from "chai";
import fc from "fast-check";
import { createEventSplitter } from "../eventsplitter.js";

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
});
