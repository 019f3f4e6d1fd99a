/** Guards against followers that miss a change or hang on a store that does not answer. */
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { StoreError, type TopicPage, type TopicRange } from "../../ports/registry.js";
import { type FedTopicFollower, followTopic } from "../followtopic.js";

type Answer = TopicPage<string> | "removed" | "lost" | "silent";

describe("topic follower", () => {
    let clock: FakeClock;
    let follower: FedTopicFollower<string>;
    let calls: string[];
    let seen: string[];
    let currentEra: number;
    /** Value at which applying a change fails. */
    let faulty: string | undefined;
    beforeEach(() => {
        faulty = undefined;
    });

    const start = (answers: readonly Answer[]): void => {
        clock = install({ toFake: ["setTimeout", "clearTimeout"] });
        currentEra = 1;
        calls = [];
        seen = [];
        const rest = [...answers];
        const next = async (): Promise<TopicPage<string> | undefined> => {
            const answer = rest.shift();
            if (answer === undefined || answer === "silent") {
                return new Promise(() => undefined);
            }
            if (answer === "lost") {
                throw new StoreError("unanswered", "silent");
            }
            return answer === "removed" ? undefined : answer;
        };
        follower = followTopic({
            topic: {
                name: "topic",
                readLatest: async () => {
                    calls.push("newest");
                    return await next() ?? { changes: [], nextOffset: 0, era: 1 };
                },
                readFrom: (offset, wait, signal) => {
                    calls.push(`after ${offset} wait ${wait}`);
                    const aborted = new Promise<never>((...[, reject]) =>
                        signal?.addEventListener("abort", () => reject(new StoreError("unanswered", "aborted")))
                    );
                    return Promise.race([next(), aborted]);
                },
            },
            log: { emit: () => undefined },
            random: () => 0,
            currentEra: () => currentEra,
            waitMilliseconds: () => 2_500,
            pauseMilliseconds: () => 10,
            replace: (changes, isRestored) =>
                void seen.push(
                    `${isRestored ? "restored" : "all"} ${changes.map(({ key, value }) => `${key}=${value}`).join()}`,
                ),
            apply: changes => {
                if (faulty !== undefined && changes.some(({ value }) => value === faulty)) {
                    throw new TypeError("faulty");
                }
                seen.push(changes.map(({ key, value }) => `${key}=${value}`).join());
            },
        });
    };
    afterEach(() => {
        follower.stop();
        clock.uninstall();
    });

    it("goes on after a change that cannot be applied", async () => {
        start([
            { changes: [], nextOffset: 5, era: 1 },
            { changes: [{ key: "a", value: "odd" }], nextOffset: 6, era: 1 },
            { changes: [{ key: "b", value: "1" }], nextOffset: 7, era: 1 },
        ]);
        faulty = "odd";
        await clock.tickAsync(2_000);
        expect(seen).to.deep.equal(["all ", "b=1"]);
    });

    it("reads all newest values and then each change", async () => {
        start([
            { changes: [{ key: "a", value: "1" }], nextOffset: 5, era: 1 },
            { changes: [{ key: "a", value: "2" }, { key: "b" }], nextOffset: 7, era: 1 },
        ]);
        await clock.tickAsync(100);
        expect(seen).to.deep.equal(["all a=1", "a=2,b=undefined"]);
        expect(calls).to.deep.equal(["newest", "after 5 wait 2500", "after 7 wait 2500"]);
    });

    it("reads all newest values again when changes were removed before it read them", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }, "removed", {
            changes: [{ key: "c", value: "3" }],
            nextOffset: 90,
            era: 1,
        }]);
        await clock.tickAsync(100);
        expect(calls.slice(0, 4)).to.deep.equal(["newest", "after 5 wait 2500", "newest", "after 90 wait 2500"]);
        expect(seen.at(-1)).to.equal("all c=3");
    });

    it("reads without waiting while the store is lost, so that it detects the recovery at once", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }, "lost", "lost", { changes: [], nextOffset: 6, era: 1 }]);
        await clock.tickAsync(1_000);
        expect(calls).to.deep.equal([
            "newest",
            "after 5 wait 2500",
            "after 5 wait 0",
            "after 5 wait 0",
            "after 6 wait 2500",
        ]);
    });

    it("asks a store that turns it away less and less often, and is back within a second", async () => {
        const refusals = Array.from({ length: 100 }, (): Answer => "lost");
        start([{ changes: [], nextOffset: 5, era: 1 }, ...refusals]);
        await clock.tickAsync(9_000);
        const reads = calls.length;
        expect(reads).to.be.at.most(1 + 9 / 0.5 + 3);
        await clock.tickAsync(1_000);
        expect(calls.length).to.be.above(reads);
    });

    it("replaces a read that waits on a silent connection when it is refreshed", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }]);
        await clock.tickAsync(100);
        follower.refresh(0);
        follower.refresh(0);
        await clock.tickAsync(5);
        expect(calls).to.deep.equal(["newest", "after 5 wait 2500", "after 5 wait 0"]);
    });

    // Over a slow link, a large configuration can take longer to arrive than the notification of its change.
    it("does not abort a read that answers within the grace period of a refresh", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }, { changes: [{ key: "a", value: "1" }], nextOffset: 6, era: 1 }]);
        follower.refresh(400);
        await clock.tickAsync(1_000);
        expect(calls).to.deep.equal(["newest", "after 5 wait 2500", "after 6 wait 2500"]);
    });

    it("does not abort the read that a refresh started, however often it is refreshed", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }]);
        await clock.tickAsync(100);
        for (let told = 0; told < 20; told += 1) {
            follower.refresh(0);
            await clock.tickAsync(100);
        }
        expect(calls).to.deep.equal(["newest", "after 5 wait 2500", "after 5 wait 0"]);
    });

    it("waits between two failed reads of all values even when it is refreshed", async () => {
        start([
            { changes: [], nextOffset: 5, era: 1 },
            "silent",
            "removed",
            ...Array.from({ length: 50 }, () => "lost" as const),
        ]);
        await clock.tickAsync(100);
        follower.refresh(0);
        await clock.tickAsync(1_000);
        expect(calls.length).to.be.below(15);
    });

    // The era may rise during the pause between two reads, when there is no waiting read to refresh.
    it("does not wait at an offset of an earlier era when another answer has stated a later one", async () => {
        start([{ changes: [], nextOffset: 5, era: 1 }]);
        currentEra = 2;
        await clock.tickAsync(100);
        expect(calls).to.deep.equal(["newest", "after 5 wait 0"]);
    });

    const restored = { changes: [{ key: "a", value: "1" }], nextOffset: 4, era: 2 };
    const restores: readonly { readonly name: string; readonly answer: Answer; }[] = [
        { name: "gave the offset out again", answer: { changes: [{ key: "b", value: "9" }], nextOffset: 6, era: 2 } },
        { name: "has not reached the offset", answer: "removed" },
    ];
    restores.forEach(({ name, answer }) => {
        it(`reads all values again when the store came back from an older copy and ${name}`, async () => {
            start([{ changes: [{ key: "a", value: "2" }], nextOffset: 5, era: 1 }, answer, restored]);
            await clock.tickAsync(15);
            currentEra = 2;
            await clock.tickAsync(1_000);
            expect(calls).to.deep.equal(["newest", "after 5 wait 2500", "newest", "after 4 wait 2500"]);
            expect(seen).to.deep.equal(["all a=2", "restored a=1"]);
        });
    });

    describe("that is offered what another daemon read", () => {
        const PAUSE_MILLISECONDS = 1_000;
        const range = (fromOffset: number, nextOffset: number, value: string, era = 1): TopicRange<string> => ({
            fromOffset,
            nextOffset,
            era,
            changes: [{ key: "a", value }],
        });
        const begin = async (): Promise<void> => {
            start([
                { changes: [], nextOffset: 5, era: 1 },
                { changes: [{ key: "a", value: "own" }], nextOffset: 6, era: 1 },
            ]);
            await clock.tickAsync(5);
            calls.length = 0;
        };

        it("applies it and makes no read until nothing more is offered", async () => {
            await begin();
            follower.offer(range(5, 8, "1"), PAUSE_MILLISECONDS);
            await clock.tickAsync(900);
            follower.offer(range(8, 9, "2"), PAUSE_MILLISECONDS);
            await clock.tickAsync(900);
            expect(calls).to.deep.equal([]);
            await clock.tickAsync(200);
            expect(calls[0]).to.equal("after 9 wait 2500");
            expect(seen.slice(1, 3)).to.deep.equal(["a=1", "a=2"]);
        });

        it("reads at once after a gap, which a lost message leaves", async () => {
            await begin();
            follower.offer(range(5, 8, "1"), PAUSE_MILLISECONDS);
            await clock.tickAsync(100);
            follower.offer(range(9, 10, "2"), PAUSE_MILLISECONDS);
            await clock.tickAsync(20);
            expect(calls[0]).to.equal("after 8 wait 2500");
            expect(seen).to.not.include("a=2");
        });

        const ignored: readonly { readonly guards: string; readonly offered: TopicRange<string>; }[] = [
            { guards: "going back to what is known already", offered: range(3, 5, "old") },
            { guards: "the offsets of an earlier era", offered: range(5, 9, "old", 0) },
            { guards: "the offsets of an era that it has not read in", offered: range(5, 9, "new", 2) },
        ];
        ignored.forEach(({ guards, offered }) =>
            it(`guards against ${guards}`, async () => {
                await begin();
                follower.offer(offered, PAUSE_MILLISECONDS);
                expect(seen).to.deep.equal(["all "]);
            })
        );

        it("reads when it is refreshed", async () => {
            await begin();
            follower.offer(range(5, 8, "1"), PAUSE_MILLISECONDS);
            await clock.tickAsync(100);
            follower.refresh(0);
            await clock.tickAsync(5);
            expect(calls).to.deep.equal(["after 8 wait 0"]);
        });
    });

    describe("that rests while another daemon would tell of a change", () => {
        const begin = async (): Promise<void> => {
            start([
                { changes: [], nextOffset: 5, era: 1 },
                { changes: [{ key: "a", value: "1" }], nextOffset: 6, era: 1 },
            ]);
            await clock.tickAsync(5);
            follower.rest(1_000);
            await clock.tickAsync(900);
        };

        it("makes no read until that time ends", async () => {
            await begin();
            expect(calls).to.deep.equal(["newest"]);
            follower.rest(1_000);
            await clock.tickAsync(900);
            expect(calls).to.deep.equal(["newest"]);
            await clock.tickAsync(200);
            expect(calls[1]).to.equal("after 5 wait 2500");
        });

        it("reads at once when it is refreshed, and a further rest does not stop this read", async () => {
            await begin();
            follower.refresh(0);
            follower.rest(1_000);
            await clock.tickAsync(5);
            expect(calls).to.deep.equal(["newest", "after 5 wait 0"]);
            expect(seen.at(-1)).to.equal("a=1");
        });

        [true, false].forEach(isOffered =>
            it(`${isOffered ? "makes no read" : "reads"} if the change is ${isOffered ? "" : "not "}offered in time`, async () => {
                await begin();
                follower.refresh(400);
                follower.rest(1_000);
                await clock.tickAsync(300);
                if (isOffered) {
                    const changes = [{ key: "a", value: "offered" }];
                    follower.offer({ fromOffset: 5, nextOffset: 6, era: 1, changes }, 1_000);
                }
                await clock.tickAsync(200);
                expect(calls[1]).to.equal(isOffered ? undefined : "after 5 wait 0");
                expect(seen.at(-1)).to.equal(isOffered ? "a=offered" : "a=1");
            })
        );
    });
});
