import { type Edit, encodeSnapshot, initialFoldState, tableFold, type TableState } from "@damaskvale/core";
import { expect } from "chai";
import type { Result } from "ts-results";
import type { PeerMessage } from "../../messages.js";
import type { LogFailure } from "../../ports/platformlog.js";
import { createStreamExchange } from "../exchange.js";
import type { FollowedStream } from "../followedstream.js";
import { createFollowedStream } from "../follower.js";
import { publishTableView } from "../tableview.js";
import { InMemoryLog, peerNetwork, withTimers } from "./streamfakes.js";

const name = "configuration";
const edit = (weight: number, baseRevision = 0): Edit => ({
    kind: "edit",
    key: "target:t",
    baseRevision,
    row: { kind: "target", name: "t", weight, state: "active", fencing: "ignored" },
});
const record = (id: string, body: Edit) => ({
    version: 1,
    id,
    author: { daemon: "b", incarnation: "1" },
    basis: 0,
    body,
});

function follow(log: InMemoryLog, answer?: (message: PeerMessage) => PeerMessage[]): FollowedStream<TableState, Edit> {
    const stream = createFollowedStream({
        name,
        definition: tableFold,
        author: { daemon: "a", incarnation: "1" },
        log,
        exchange: createStreamExchange(peerNetwork(answer), { emit: () => undefined }),
        clock: { monotonic: () => performance.now(), wall: () => Date.now() },
        events: { emit: () => undefined },
        metrics: { increment: () => undefined, gauge: () => undefined, timing: () => undefined },
        random: () => 0.5,
    });
    stream.start();
    return stream;
}

/** Starts an append and returns a function that returns its result so far. */
function appending(stream: FollowedStream<TableState, Edit>, body: Edit, id?: string): () => string {
    let text = "open";
    void stream.append(body, { id, timeoutMilliseconds: 1_000 }).then((result: Result<object, { kind: string; }>) => {
        text = result.ok ? `accepted ${(result.val as { accepted: boolean; }).accepted}` : result.val.kind;
    });
    return () => text;
}

const lost = (effect: boolean): LogFailure & { effect: boolean; } => ({ kind: "ambiguous", message: "lost", effect });

describe("appends of a followed stream", () => {
    const cases: {
        behaviour: string;
        failures: (LogFailure & { effect?: boolean; })[];
        result: string;
        entries: number;
    }[] = [
        {
            behaviour: "read the decision back when the answer is lost",
            failures: [lost(true)],
            result: "accepted true",
            entries: 1,
        },
        { behaviour: "resend a lost record", failures: [lost(false)], result: "accepted true", entries: 1 },
        {
            behaviour: "report a refusal at once",
            failures: [{ kind: "refused", message: "" }],
            result: "refused",
            entries: 0,
        },
        {
            behaviour: "are ambiguous when a refusal follows a lost copy",
            failures: [lost(false), ...Array(9).fill({ kind: "refused", message: "" })],
            result: "ambiguous",
            entries: 0,
        },
        {
            behaviour: "are retried after a rate limit",
            failures: [{ kind: "refused", message: "", retryAfterMilliseconds: 300 }],
            result: "accepted true",
            entries: 1,
        },
    ];

    cases.forEach(({ behaviour, failures, result, entries }) => {
        it(`on a failure of the log: ${behaviour}`, () =>
            withTimers(async advance => {
                const log = new InMemoryLog();
                const stream = follow(log);
                await advance(50);
                log.failures = [...failures];
                const outcome = appending(stream, edit(1));
                await advance(1_100);
                expect([outcome(), log.entries.length]).to.deep.equal([result, entries]);
                await stream.stop();
            }));
    });

    it("keep the first decision when a late copy is decided after the deduplication window", () =>
        withTimers(async advance => {
            const log = new InMemoryLog();
            const stream = follow(log);
            await advance(50);
            log.failures = Array(99).fill(lost(false));
            const outcome = appending(stream, edit(1), "id");
            await advance(1_100);
            log.commit(log.sent.at(-1)?.value);
            await advance(50);
            [...Array(4_200).keys()].forEach(() => log.commit("noise"));
            log.commit(log.sent.at(-1)?.value);
            await advance(500);
            const repeated = appending(stream, edit(1), "id");
            await advance(50);
            expect([outcome(), repeated()]).to.deep.equal(["ambiguous", "accepted true"]);
            await stream.stop();
        }));
});

describe("follower", () => {
    it("knows the end of an empty log without waiting for an entry", () =>
        withTimers(async advance => {
            const stream = follow(new InMemoryLog());
            await advance(50);
            expect(stream.health()).to.include({ platformReachable: true, caughtUp: true });
            await stream.stop();
        }));

    it("does not count as caught up behind a gap, and refuses appends there", () =>
        withTimers(async advance => {
            const log = new InMemoryLog();
            [...Array(3).keys()].forEach(() => log.commit("noise"));
            log.firstOffset = 2;
            const stream = follow(log);
            await advance(500);
            const outcome = appending(stream, edit(1));
            await advance(50);
            expect([stream.health().caughtUp, outcome(), stream.folded.current().nextOffset]).to.deep.equal([
                false,
                "refused",
                0,
            ]);
            await stream.stop();
        }));

    it("follows through a peer while the platform is down, and publishes one view for each change", () =>
        withTimers(async advance => {
            const log = new InMemoryLog();
            log.isReachable = false;
            const entries = [{ offset: 0, time: 0, value: record("x", edit(4)) }, {
                offset: 1,
                time: 0,
                value: "noise",
            }];
            const stream = follow(
                log,
                message =>
                    message.kind === "fetchEntries"
                        ? [{ kind: "entries", request: message.request, stream: name, entries }]
                        : [],
            );
            const view = publishTableView(stream.folded);
            const rows: unknown[] = [];
            view.subscribe(one => rows.push(one.rows));
            await advance(50);
            stream.receivePeerOffset("peer", 2);
            await advance(50);
            expect(view.current().target("t")?.weight).to.equal(4);
            expect([view.current().nextOffset, rows.length, stream.health().source]).to.deep.equal([2, 1, "peer"]);
            await stream.stop();
        }));

    it("never takes an older state from a peer", () =>
        withTimers(async advance => {
            const log = new InMemoryLog();
            log.commit(record("x", edit(4)));
            const old = encodeSnapshot(name, initialFoldState(tableFold));
            const stream = follow(log, message =>
                message.kind === "fetchState"
                    ? [{ kind: "state", request: message.request, stream: name, snapshot: old }]
                    : message.kind === "fetchEntries"
                    ? [{ kind: "entries", request: message.request, stream: name, entries: [] }]
                    : []);
            await advance(50);
            stream.receivePeerOffset("peer", 9);
            await advance(500);
            expect(stream.folded.current().nextOffset).to.equal(1);
            await stream.stop();
        }));
});
