import { expect } from "chai";
import { createJournal } from "../../shared/journal.js";
import { createBatch } from "../batch.js";
import { createPrefixCache } from "../cache.js";

const cacheOptions = { blocks: 2, lagMilliseconds: 100, retainedEvents: 10, lossInterval: 0 };

const start = (batch: ReturnType<typeof createBatch>, id: string, priority: number) =>
    batch.start({
        id,
        priority,
        chat: { model: "m", messages: [{ content: id }], max_tokens: 2 },
        bodyHash: "",
        group: "g",
        fence: 1,
    }, 0);

describe("batch of the engine stand-in", () => {
    it("runs the highest priority first, rejects attempts beyond the queue limit and journals each result", () => {
        const journal = createJournal();
        const batch = createBatch(
            { size: 1, queueLength: 2, blockMilliseconds: 0, retainMilliseconds: 1000 },
            createPrefixCache(cacheOptions),
            journal,
        );
        const [first, low, high] = [start(batch, "first", 5), start(batch, "low", 1), start(batch, "high", 9)];
        expect(start(batch, "surplus", 9)).to.equal(undefined);
        [1, 2, 3].forEach(now => batch.tick(now));

        expect([first, low, high].map(attempt => attempt!.state)).to.deep.equal(["done", "queued", "running"]);
        batch.abortAll(4);
        expect(journal.entries().map(({ attempt, result }) => `${attempt} ${result}`)).to.deep.equal([
            "first done",
            "low broken",
            "high broken",
        ]);
    });

    it("retains a finished attempt for its time on the clock of the caller", () => {
        const batch = createBatch(
            { size: 1, queueLength: 2, blockMilliseconds: 0, retainMilliseconds: 1_500 },
            createPrefixCache(cacheOptions),
            createJournal(),
        );
        start(batch, "first", 5);
        [1, 2].forEach(now => batch.tick(now));
        const found = [1_400, 2_600].map(now => {
            batch.tick(now);
            return batch.find("first")?.state;
        });
        expect(found).to.deep.equal(["done", undefined]);
    });

    it("delays cache events, so that a router sees a stale cache as it does in production", () => {
        const cache = createPrefixCache(cacheOptions);
        expect(cache.lookUpAndStore(["a", "b"], 0)).to.equal(0);
        expect(cache.lookUpAndStore(["a", "c"], 50)).to.equal(1);

        expect(cache.events(0, 120).events.map(({ stored }) => stored)).to.deep.equal([["a", "b"]]);
        expect(cache.events(1, 150).events).to.deep.equal([{ offset: 1, stored: ["c"], evicted: ["b"] }]);
    });
});
