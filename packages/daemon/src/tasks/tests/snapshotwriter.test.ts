/** A snapshot that cannot be made ends neither the process nor the writer. */
import { expect } from "chai";
import type { LogPage } from "../../ports/platformlog.js";
import { createSnapshotWriter } from "../snapshotwriter.js";
import { withTimers } from "./streamfakes.js";

const page: LogPage = { firstOffset: 0, nextOffset: 5_000, entries: [] };

describe("snapshot writer", () => {
    it("tells that a snapshot could not be made, and writes it when it is due again", () =>
        withTimers(async advance => {
            const events: string[] = [];
            const failures = [new Error("out of memory")];
            const writer = createSnapshotWriter({
                name: "s",
                author: { daemon: "a", incarnation: "1" },
                snapshots: {
                    load: () => Promise.resolve([]),
                    newestOffset: () => Promise.resolve(0),
                    write: () => Promise.resolve(true),
                },
                clock: { monotonic: () => performance.now(), wall: () => Date.now() },
                events: { emit: name => void events.push(name) },
                random: () => 0.5,
                signal: new AbortController().signal,
                current: () => ({ nextOffset: 5_000, state: {}, decisions: new Map() }) as never,
                encode: () => {
                    const failure = failures.shift();
                    return failure === undefined ? Promise.resolve({} as never) : Promise.reject(failure);
                },
            });
            writer.writeWhenDue(page);
            await advance(3_000);
            writer.writeWhenDue(page);
            await advance(3_000);
            expect(events).to.deep.equal(["taskFailed", "snapshotWritten"]);
        }));
});
