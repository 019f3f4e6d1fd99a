/** A daemon that is heard is not taken for one that knows the newest configuration: review/5, CONFIG. */
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import type { ConfigurationTopic, TopicPage } from "../../ports/registry.js";
import { createCollectorConfirmation, observeReads } from "../confirmedreads.js";

const clock = { monotonic: () => performance.now(), wall: () => 0 };
const WAIT_MILLISECONDS = 500;

describe("confirmation of the configuration", () => {
    let fake: FakeClock;
    beforeEach(() => {
        fake = install({ toFake: ["setTimeout", "performance"] });
    });
    afterEach(() => fake.uninstall());

    const cases: readonly {
        readonly name: string;
        readonly changes: TopicPage<never>["changes"];
        readonly answeredAfter: number;
        readonly age: number;
    }[] = [
        { name: "without changes, as of the end of its wait", changes: [], answeredAfter: 600, age: 100 },
        { name: "without changes that comes early, as of its arrival", changes: [], answeredAfter: 400, age: 0 },
        { name: "with changes, as of its request", changes: [{ key: "config" }], answeredAfter: 300, age: 300 },
    ];
    cases.forEach(({ name, changes, answeredAfter, age }) =>
        it(`is given by an answer ${name}`, async () => {
            const page = { changes, nextOffset: 1, era: 0 };
            const topic: ConfigurationTopic = {
                name: "t",
                decode: () => [],
                readLatest: () => Promise.resolve(page),
                readFrom: () => new Promise(resolve => setTimeout(() => resolve(page), answeredAfter)),
            };
            const reads = observeReads(topic, clock);
            const before = reads.ageMilliseconds();
            const read = reads.topic.readFrom(0, WAIT_MILLISECONDS);
            await fake.tickAsync(answeredAfter);
            await read;
            expect([before, reads.ageMilliseconds()]).to.deep.equal([undefined, age]);
        })
    );

    it("is not given by a read that fails", async () => {
        const reads = observeReads(
            {
                name: "t",
                decode: () => [],
                readLatest: () => Promise.reject(new Error("away")),
                readFrom: () => Promise.reject(new Error("away")),
            },
            clock,
        );
        await reads.topic.readLatest().catch(() => undefined);
        await reads.topic.readFrom(0, WAIT_MILLISECONDS).catch(() => undefined);
        expect(reads.ageMilliseconds()).to.equal(undefined);
    });

    it("ends in time for a read if the collector that is heard has lost the store", () => {
        const confirmation = createCollectorConfirmation(clock, 2_000);
        const remaining = [100, 1_300, 2_100, undefined].map(age => confirmation.confirm(age) > 0);
        fake.tick(1_200);
        const confirmed = !confirmation.isMissing();
        fake.tick(200);
        expect([remaining, confirmed, confirmation.isMissing()]).to.deep.equal([
            [true, true, false, false],
            true,
            true,
        ]);
    });
});
