/** Logging never blocks: lines for a reader that does not read are dropped and counted. */
import { expect } from "chai";
import { type BlockWriter, createBoundedOutput } from "../boundedoutput.js";

const DESCRIPTOR = 1;
const settle = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 150));

describe("bounded output", () => {
    it("writes lines in order, also when a write takes only a part", async () => {
        let text = "";
        const takeFive: BlockWriter = (...[, block, , , done]) => {
            text += block.toString("utf8", 0, 5);
            setImmediate(() => done(undefined as never, Math.min(5, block.length)));
        };
        const { stream, dropped } = createBoundedOutput(DESCRIPTOR, takeFive);
        ["line one\n", "line two\n"].forEach(line => stream.write(line));
        await settle();
        expect([text, dropped()]).to.deep.equal(["line one\nline two\n", 0]);
    });

    it("drops lines instead of waiting for a reader that stopped, and holds a bounded number of bytes", async () => {
        let held = 0;
        const never: BlockWriter = (...[, block]) => {
            held += block.length;
        };
        const { stream, dropped } = createBoundedOutput(DESCRIPTOR, never);
        const line = `${"x".repeat(1_023)}\n`;
        stream.write(line);
        await settle();
        const startedAt = performance.now();
        Array.from({ length: 3_000 }).forEach(() => stream.write(line));
        expect(performance.now() - startedAt).to.be.lessThan(1_000);
        expect([held, dropped()]).to.deep.equal([1_024, 3_000 - 1_024]);
    });
});
