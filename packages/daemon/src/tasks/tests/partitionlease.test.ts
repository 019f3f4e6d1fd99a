/** Guards against orders from a daemon whose lease has expired, and against a slow handover of partitions. */
import { fencingTokenOf } from "@damaskvale/core";
import { type Clock as FakeClock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { type PartitionAssignment, StoreError } from "../../ports/registry.js";
import { type PartitionLease, startPartitionLease } from "../partitionlease.js";

type Answer = PartitionAssignment | "silent" | "faulty";

const share: PartitionAssignment = { fencingToken: 4, partitions: [1] };

describe("partition lease", () => {
    let clock: FakeClock;
    let answers: Answer[];
    let tokens: number[];
    let events: string[];
    /** Milliseconds until each of the next renewals is answered; the others are answered at once. */
    let delays: number[];
    let lease: PartitionLease;
    let currentEra: number;
    let isCandidate: boolean;

    const start = (extensionMilliseconds: number): void => {
        clock = install({ toFake: ["setTimeout", "clearTimeout", "performance"] });
        tokens = [];
        currentEra = 0;
        isCandidate = true;
        events = [];
        delays = [];
        lease = startPartitionLease({
            group: {
                partitionCount: 8,
                renew: async (...[, token]) => {
                    tokens.push(token);
                    const [delay] = delays.splice(0, 1);
                    await (delay === undefined ? undefined : new Promise(resolve => setTimeout(resolve, delay)));
                    const answer = answers.length > 1 ? answers.shift() : answers[0];
                    if (answer === "faulty") {
                        throw new TypeError("faulty");
                    }
                    return answer === "silent" || answer === undefined
                        ? Promise.reject(new StoreError("unanswered", "silent"))
                        : Promise.resolve(answer);
                },
                leave: () => Promise.resolve(),
            },
            clock: { monotonic: () => performance.now(), wall: () => Date.now() },
            log: { emit: name => void events.push(name) },
            leaseMilliseconds: 2_500,
            extensionMilliseconds,
            isCandidate: () => isCandidate,
            isOfCurrentEra: token => token >= fencingTokenOf(currentEra, 0),
        });
    };
    afterEach(async () => {
        await lease.stop();
        clock.uninstall();
    });

    it("holds while it is renewed", async () => {
        answers = [share];
        start(0);
        await clock.tickAsync(10_000);
        expect(lease.current()).to.deep.equal(share);
    });

    it("expires before the platform assigns the partitions to another daemon", async () => {
        answers = [share, "silent"];
        start(0);
        await clock.tickAsync(1_800);
        expect(lease.current()).to.deep.equal(share);
        await clock.tickAsync(200);
        expect(lease.current()).to.equal(undefined);
    });

    it("stays valid for a limited time without the store where engines refuse old owners", async () => {
        answers = [share, "silent"];
        start(20_000);
        await clock.tickAsync(15_000);
        expect(lease.current()).to.deep.equal(share);
        await clock.tickAsync(8_000);
        expect(lease.current()).to.equal(undefined);
    });

    it("renews at once with a new token, because the handover of partitions waits for that", async () => {
        answers = [share, { fencingToken: 5, partitions: [] }];
        start(0);
        await clock.tickAsync(300);
        expect(tokens).to.deep.equal([0, 4, 5]);
    });

    it("is confirmed by an answer only for the time before the renewal was sent", async () => {
        answers = [share];
        start(20_000);
        await clock.tickAsync(10);
        delays = [500];
        await clock.tickAsync(400);
        const sentBefore = performance.now();
        await clock.tickAsync(400);
        const confirmedMeanwhile = lease.confirmedSince(sentBefore);
        answers = ["silent"];
        await clock.tickAsync(5_000);
        expect([confirmedMeanwhile, lease.confirmedSince(0), lease.confirmedSince(sentBefore)]).to.deep.equal([
            false,
            true,
            false,
        ]);
    });

    it("is renewed further after an error that is not the store's, which is told", async () => {
        answers = [share, "faulty", { fencingToken: 5, partitions: [2] }];
        start(0);
        await clock.tickAsync(3_000);
        expect([lease.current()?.fencingToken, events]).to.deep.equal([
            5,
            ["partitionsChanged", "taskFailed", "partitionsChanged"],
        ]);
    });

    it("is not used again by a renewal that ends after the daemon left the group", async () => {
        answers = [share, { fencingToken: 5, partitions: [2] }];
        start(20_000);
        await clock.tickAsync(10);
        delays = [1_000];
        await clock.tickAsync(200);
        await lease.stop();
        await clock.tickAsync(5_000);
        expect([lease.current(), tokens]).to.deep.equal([undefined, [0, 4]]);
    });

    it("is not used after the store came back from an older copy, until it is acquired again", async () => {
        answers = [share, { fencingToken: 20_000_004, partitions: [2] }];
        start(20_000);
        await clock.tickAsync(10);
        currentEra = 2;
        lease.invalidate("restored");
        const before = lease.current();
        await clock.tickAsync(200);
        expect([before, lease.current()?.partitions]).to.deep.equal([undefined, [2]]);
        expect(tokens.slice(0, 2)).to.deep.equal([0, 0]);
    });

    it("does not use an assignment of an earlier era that arrives after the store came back", async () => {
        answers = [share, { fencingToken: 20_000_004, partitions: [2] }];
        start(20_000);
        currentEra = 2;
        lease.invalidate("restored");
        await clock.tickAsync(10);
        const late = lease.current();
        await clock.tickAsync(700);
        expect([late, lease.current()?.partitions]).to.deep.equal([undefined, [2]]);
    });

    const renewals: readonly { readonly guards: string; readonly partitions: number[]; readonly expected: number; }[] =
        [
            { guards: "calls of a daemon of a large fleet that holds nothing", partitions: [], expected: 0 },
            {
                guards: "partitions that their holder drops when others are to share them",
                partitions: [1],
                expected: 4,
            },
        ];
    renewals.forEach(({ guards, partitions, expected }) =>
        it(`guards against ${guards}`, async () => {
            answers = [{ fencingToken: 4, partitions }];
            start(0);
            await clock.tickAsync(1_000);
            isCandidate = false;
            tokens = [];
            await clock.tickAsync(2_500);
            expect(tokens).to.have.length(expected);
            isCandidate = true;
            await clock.tickAsync(700);
            expect(lease.current()?.partitions).to.deep.equal(partitions);
        })
    );
});
