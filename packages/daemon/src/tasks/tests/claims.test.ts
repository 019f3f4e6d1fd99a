import { claimsFold, claimsStream } from "@damaskvale/core";
import { expect } from "chai";
import type { PeerMessage } from "../../messages.js";
import type { ClaimRequest, ClaimResult } from "../../ports/claims.js";
import { type ClaimsTask, createClaims } from "../claims.js";
import { createStreamExchange } from "../exchange.js";
import { createFollowedStream } from "../follower.js";
import { InMemoryLog, peerNetwork, withTimers } from "./streamfakes.js";

const hash = (index: number) => index.toString(16).padStart(64, "0");
const request = (index: number, fields: Partial<ClaimRequest> = {}): ClaimRequest => ({
    team: "fees",
    keyHash: hash(index),
    bodyHash: hash(0),
    deadlineAt: performance.now() + 5_000,
    ...fields,
});
const answer = (length: number) => ({ status: 201, headers: {}, body: Buffer.alloc(length, "x") });

interface Daemon {
    readonly log: InMemoryLog;
    readonly claims: ClaimsTask;
    /** Claims, and advances the timers until the result has arrived. */
    claim(claimRequest: ClaimRequest): Promise<ClaimResult>;
    stop(): Promise<void>;
}

async function start(
    advance: (milliseconds: number) => Promise<void>,
    { log = new InMemoryLog(), daemon = "a", peer }: {
        log?: InMemoryLog;
        daemon?: string;
        peer?: (message: PeerMessage) => PeerMessage[];
    } = {},
): Promise<Daemon> {
    const network = peerNetwork(peer);
    const shared = {
        author: { daemon, incarnation: "1" },
        clock: { monotonic: () => performance.now(), wall: () => Date.now() },
        events: { emit: () => undefined },
        metrics: { increment: () => undefined, gauge: () => undefined, timing: () => undefined },
        random: () => 0.5,
    };
    const exchange = createStreamExchange(network, shared.events);
    const stream = createFollowedStream({ ...shared, name: claimsStream(0), definition: claimsFold, log, exchange });
    stream.start();
    await advance(50);
    const claims = createClaims({ ...shared, streams: [stream], network, maximumAnswerBytes: 2_000 });
    return {
        log,
        claims,
        claim: async claimRequest => {
            const result = claims.claim(claimRequest);
            await advance(3_000);
            return result;
        },
        stop: async () => {
            claims.stop();
            await stream.stop();
        },
    };
}

const heldClaim = (result: ClaimResult): string => result.kind === "held" ? result.claim : "";

describe("claims", () => {
    it("share records of at most 64", () =>
        withTimers(async advance => {
            const { log, claims, stop } = await start(advance);
            const results = [...Array(100).keys()].map(index => claims.claim(request(index)));
            await advance(100);
            expect((await Promise.all(results)).filter(({ kind }) => kind === "held").length).to.equal(100);
            expect(log.entries.length).to.equal(2);
            await stop();
        }));

    const cases: { behaviour: string; prepare: (log: InMemoryLog) => void; kind: string; isImmediate: boolean; }[] = [
        {
            behaviour: "are refused at once during an outage",
            prepare: log => log.failures.push({ kind: "refused", message: "" }),
            kind: "unavailable",
            isImmediate: true,
        },
        {
            behaviour: "are refused if no decision is read",
            prepare: log => log.failures.push(...Array(99).fill({ kind: "ambiguous", message: "", effect: false })),
            kind: "unavailable",
            isImmediate: false,
        },
        {
            behaviour: "are held although the answer of the append was lost",
            prepare: log => log.failures.push({ kind: "ambiguous", message: "", effect: true }),
            kind: "held",
            isImmediate: true,
        },
    ];

    cases.forEach(({ behaviour, prepare, kind, isImmediate }) => {
        it(`on a failure of the log: ${behaviour}`, () =>
            withTimers(async advance => {
                const { log, claims, stop } = await start(advance);
                prepare(log);
                let result: string | undefined;
                void claims.claim(request(1)).then(one => {
                    result = one.kind;
                });
                await advance(200);
                expect(result).to.equal(isImmediate ? kind : undefined);
                await advance(3_000);
                expect(result).to.equal(kind);
                await stop();
            }));
    });

    it("are released when the log answers again, so that the key is free", () =>
        withTimers(async advance => {
            const { log, claims, claim, stop } = await start(advance);
            log.failures = [{ kind: "ambiguous", message: "", effect: true }];
            const result = claims.claim(request(1));
            log.isReachable = false;
            await advance(3_000);
            expect([(await result).kind, log.entries.length > 0]).to.deep.equal(["unavailable", true]);
            log.isReachable = true;
            await advance(30_000);
            expect([await claims.drain(0), (await claim(request(1))).kind]).to.deep.equal([true, "held"]);
            await stop();
        }));

    it("are refused if the start of the history is missing", () =>
        withTimers(async advance => {
            const log = new InMemoryLog();
            log.commit("removed");
            log.commit("retained");
            log.firstOffset = 1;
            const { claim, stop } = await start(advance, { log });
            expect([(await claim(request(1))).kind, log.entries.length]).to.deep.equal(["unavailable", 2]);
            await stop();
        }));

    it("return the recorded answer until it is evicted from memory", () =>
        withTimers(async advance => {
            const { claims, claim, stop } = await start(advance);
            const run = async (index: number) => {
                claims.record(heldClaim(await claim(request(index))), "complete", 201, answer(1_000));
                await advance(100);
                return claim(request(index));
            };
            const first = await run(1);
            const second = await run(2);
            expect([first, second].map(one => one.kind === "completed" && one.answer?.body.length)).to.deep.equal([
                1_000,
                1_000,
            ]);
            expect(await claim(request(1)), "the older answer is evicted").to.deep.include({
                kind: "completed",
                answer: undefined,
            });
            expect((await claim(request(1, { bodyHash: hash(9) }))).kind).to.equal("mismatch");
            await stop();
        }));

    it("fetch the answer from the owner, and complete without it if the owner does not answer", () =>
        withTimers(async advance => {
            const owner = await start(advance);
            owner.claims.record(heldClaim(await owner.claim(request(1))), "complete", 201, answer(3));
            await advance(100);
            const { log } = owner;
            const found = {
                kind: "answer" as const,
                found: true,
                status: 201,
                headers: {},
                outcome: "complete" as const,
            };
            const asking = await start(advance, {
                log,
                daemon: "b",
                peer: message =>
                    message.kind === "fetchAnswer"
                        ? [{ ...found, request: message.request, body: new Uint8Array([120]) }]
                        : [],
            });
            const alone = await start(advance, { log, daemon: "c" });
            const results = [await asking.claim(request(1)), await alone.claim(request(1))];
            expect(results.map(one => one.kind === "completed" && one.answer?.body.toString())).to.deep.equal([
                "x",
                undefined,
            ]);
            await Promise.all([owner, asking, alone].map(({ stop }) => stop()));
        }));
});
