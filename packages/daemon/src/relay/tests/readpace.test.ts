/** Reads of long bodies are limited together; the starts of bodies are not. */
import { expect } from "chai";
import { createReadPace } from "../readpace.js";

const START_BYTES = 1_048_576;
const BYTES_PER_MILLISECOND = 32_768;

const cases: readonly {
    readonly name: string;
    /** Bytes of the reads of one body, all at the same time. */
    readonly reads: readonly number[];
    readonly waits: readonly number[];
}[] = [
    { name: "does not limit a body that is as long as a start", reads: [START_BYTES], waits: [0] },
    { name: "limits what comes after the start", reads: [START_BYTES, BYTES_PER_MILLISECOND], waits: [0, 1] },
    {
        name: "adds up the reads that are not due yet",
        reads: [START_BYTES, BYTES_PER_MILLISECOND, 3 * BYTES_PER_MILLISECOND],
        waits: [0, 1, 4],
    },
];

describe("pace of reads", () => {
    cases.forEach(({ name, reads, waits }) =>
        it(name, () => {
            const body = createReadPace().start();
            expect(reads.map(bytes => body.read(bytes, 0))).to.deep.equal(waits);
        })
    );

    it("lets several long bodies share the rate", () => {
        const pace = createReadPace();
        const bodies = [pace.start(), pace.start()];
        bodies.forEach(body => body.read(START_BYTES, 0));
        expect(bodies.map(body => body.read(BYTES_PER_MILLISECOND, 0))).to.deep.equal([1, 2]);
    });

    it("does not delay the start of a body beside long ones", () => {
        const pace = createReadPace();
        pace.start().read(START_BYTES + 100 * BYTES_PER_MILLISECOND, 0);
        expect(pace.start().read(1_000, 0)).to.equal(0);
    });

    it("saves no rate up while nothing is read", () => {
        const body = createReadPace().start();
        body.read(START_BYTES, 0);
        expect(body.read(BYTES_PER_MILLISECOND, 60_000)).to.equal(1);
    });
});
