import { expect } from "chai";
import { randomBytes } from "node:crypto";
import { chunkSnapshot, completeSnapshots, SNAPSHOT_CHUNK_BYTES } from "../chunk.js";
import type { Snapshot } from "../snapshot.js";

const snapshot = (nextOffset: number, text = `text ${nextOffset}`): Snapshot => ({
    version: 1,
    stream: "s",
    nextOffset,
    sha256: "0".repeat(64),
    text,
});

describe("snapshot chunks", () => {
    it("do not exceed the maximum size of a record and reassemble to the same text", () => {
        const large = snapshot(7, randomBytes(100_000).toString("hex"));
        const chunks = chunkSnapshot("one", large);
        expect(chunks.length).to.be.greaterThan(1);
        expect(Math.max(...chunks.map(chunk => JSON.stringify(chunk).length))).to.be.at.most(SNAPSHOT_CHUNK_BYTES);
        expect(completeSnapshots("s", chunks.toReversed(), 0)).to.deep.equal([large]);
        expect(completeSnapshots("s", chunks.slice(1), 0), "incomplete").to.deep.equal([]);
    });

    it("are returned newest first, only above the given offset and only from the given stream", () => {
        const values = [
            ...chunkSnapshot("b", snapshot(5)),
            ...chunkSnapshot("a", snapshot(9)),
            ...chunkSnapshot("c", snapshot(4)),
            ...chunkSnapshot("d", { ...snapshot(99), stream: "t" }),
            { version: 1, kind: "other" },
        ];
        expect(completeSnapshots("s", values, 4).map(({ nextOffset }) => nextOffset)).to.deep.equal([9, 5]);
    });

    it("of two writers are not combined", () => {
        const [one, two] = ["one", "two"].map(id =>
            chunkSnapshot(id, snapshot(7, randomBytes(60_000).toString("hex")))
        );
        expect(completeSnapshots("s", [one?.[0], two?.[1]], 0)).to.deep.equal([]);
    });
});
