/** The caller receives each event of a stream in order and exactly once, even when targets fail. */
import { expect } from "chai";
import { createStreamRelay, type StreamRelay } from "../streamrelay.js";
import {
    createRelayFixture,
    type FakeSend,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

const event = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: ${id}\n\n`);
const text = (...ids: number[]): string => ids.map(event).join("");

function start(
    options: Partial<RelayFixtureOptions> = {},
): RelayFixture & { readonly relay: StreamRelay; readonly ends: () => number; } {
    const fixture = createRelayFixture({ kind: "stream", resumable: true, ...options });
    let ends = 0;
    const relay = createStreamRelay(fixture.context, fixture.parts, () => {
        ends += 1;
    });
    relay.start();
    return { ...fixture, relay, ends: () => ends };
}

function refusedConnection(): Error {
    return Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
}

function begin(send: FakeSend | undefined, ...ids: number[]): FakeSend {
    if (send === undefined) {
        throw new Error("The relay sent no request.");
    }
    send.receiver.sent();
    send.receiver.head(responseHeads.stream);
    ids.forEach(id => send.receiver.data(event(id)));
    return send;
}

describe("stream relay", () => {
    it("forwards events as they arrive and ends the response when the target ends it", () => {
        const { sends, caller, ends } = start();
        const send = begin(sends[0], 1, 2);
        expect([caller.status, caller.body, caller.ended]).to.deep.equal([200, text(1, 2), false]);
        send.receiver.ended();
        expect([caller.ended, ends()]).to.deep.equal([true, 1]);
    });

    it("takes a byte now and then that completes no event for no progress, so that a stalled head is found", async () => {
        const { sends, parts } = start();
        const send = begin(sends[0], 1);
        const progressAt = parts.loadTracker.get("a")?.lastProgressAt ?? parts.loadTracker.get("b")?.lastProgressAt;
        await new Promise(resolve => setTimeout(resolve, 5));
        [..."id: 2"].forEach(byte => send.receiver.data(Buffer.from(byte)));
        const later = parts.loadTracker.get("a")?.lastProgressAt ?? parts.loadTracker.get("b")?.lastProgressAt;
        expect([later !== undefined, later]).to.deep.equal([true, progressAt]);
    });

    const endsBeforeTheFirstEvent: readonly {
        readonly name: string;
        readonly options: Partial<RelayFixtureOptions>;
        readonly fail: (send: FakeSend) => void;
        readonly status: number;
    }[] = [
        {
            name: "the target crashes",
            options: {},
            fail: send => send.receiver.failed(new Error("reset")),
            status: 502,
        },
        { name: "the deadline passes", options: { timeoutMilliseconds: 150 }, fail: () => undefined, status: 504 },
    ];
    endsBeforeTheFirstEvent.forEach(({ name, options, fail, status }) =>
        it(`answers instead of closing the connection without a status when ${name} before the first event`, async () => {
            const { sends, caller } = start({ resumable: false, ...options });
            fail(begin(sends[0]));
            await new Promise(resolve => setTimeout(resolve, 200));
            expect([caller.status, caller.ended, caller.destroyed]).to.deep.equal([status, true, false]);
        })
    );

    it("takes the head of the response from the target whose events the caller receives", () => {
        const { sends, caller } = start();
        begin(sends[0]).receiver.failed(new Error("reset"));
        sends[1]?.receiver.sent();
        sends[1]?.receiver.head({ ...responseHeads.stream, headers: { "request-id": "r1", "stamp": "s2" } });
        sends[1]?.receiver.data(event(1));
        expect([caller.status, caller.headers.includes("s2"), caller.headers.includes("s1")])
            .to.deep.equal([200, true, false]);
    });

    it("resumes at another target after the last delivered event without duplicates", () => {
        const { sends, caller } = start();
        const first = begin(sends[0], 1, 2);
        first.receiver.data(Buffer.from("id: 3\ndata: ha"));
        first.receiver.failed(new Error("reset"));
        expect(sends[1]?.request.headers).to.include.members(["lastEventId", "2"]);
        begin(sends[1], 2, 3, 4).receiver.ended();
        expect([caller.body, caller.ended]).to.deep.equal([text(1, 2, 3, 4), true]);
        expect(sends[1]?.address).to.not.equal(sends[0]?.address);
    });

    const failures: readonly [string, boolean, (send: FakeSend | undefined) => void][] = [
        ["responds that it is not the head", true, send => send?.receiver.head(responseHeads.misdirected)],
        ["refuses the connection", true, send => send?.receiver.failed(refusedConnection())],
        ["is full", false, send => send?.receiver.head(responseHeads.notRun)],
        ["resets a connection", false, send => send?.receiver.failed(new Error("reset"))],
    ];
    failures.forEach(([name, unusable, fail]) =>
        it(`${unusable ? "reports as unusable" : "keeps using"} a head that ${name}`, () => {
            const fixture = start();
            fail(fixture.sends[0]);
            expect(fixture.unusableHeads).to.deep.equal(unusable ? ["a"] : []);
            expect(fixture.sends.length).to.equal(2);
        })
    );

    it("does not end a stream as complete if it stopped inside an event", () => {
        const { sends, caller } = start({ maximumAttempts: 1 });
        const send = begin(sends[0], 1);
        send.receiver.data(Buffer.from("id: 2\nda"));
        send.receiver.ended();
        expect([caller.ended, caller.destroyed]).to.deep.equal([false, true]);
    });

    it("does not forward an event after a missing one", () => {
        const { sends, caller } = start();
        begin(sends[0], 1, 3);
        expect(caller.body).to.equal(text(1));
        expect(sends[0]?.cancelled).to.equal(true);
        expect(sends.length).to.equal(2);
    });

    it("does not retry a stream that is not resumable", () => {
        const { sends, caller } = start({ resumable: false });
        begin(sends[0], 1).receiver.failed(new Error("reset"));
        expect([sends.length, caller.destroyed]).to.deep.equal([1, true]);
    });

    it("responds with 502, not a refusal, when a target may have run the request", () => {
        const { sends, caller } = start({ resumable: false });
        sends[0]?.receiver.sent();
        sends[0]?.receiver.failed(new Error("reset"));
        expect(caller.status).to.equal(502);
    });

    it("refuses with Retry-After when all targets state that they have not run the request", () => {
        const { sends, caller } = start({ resumable: false });
        [0, 1].forEach(index => {
            sends[index]?.receiver.sent();
            sends[index]?.receiver.head(responseHeads.notRun);
        });
        expect([sends.length, caller.status, caller.headers[0]]).to.deep.equal([2, 503, "Retry-After"]);
    });

    it("refuses when no connection could be made", () => {
        const { sends, caller } = start({ targets: ["a"] });
        sends[0]?.receiver.failed(new Error("refused"));
        expect(caller.status).to.equal(503);
    });

    it("refuses at once while no group serves the model", () => {
        const { caller } = start({ targets: [] });
        expect([caller.status, caller.headers[0]]).to.deep.equal([503, "Retry-After"]);
    });

    it("drops a response to another request and retries at another target", () => {
        const { sends, caller } = start();
        sends[0]?.receiver.sent();
        sends[0]?.receiver.head(responseHeads.foreign);
        sends[0]?.receiver.data(event(1));
        begin(sends[1], 1).receiver.ended();
        expect([caller.body, sends[0]?.cancelled]).to.deep.equal([text(1), true]);
    });

    it("does not retry beyond the retry budget", () => {
        const { sends, caller } = start({ retries: 0 });
        begin(sends[0], 1).receiver.failed(new Error("reset"));
        expect([sends.length, caller.destroyed]).to.deep.equal([1, true]);
    });

    it("cancels the request at the target when the caller disconnects, even before the first event", () => {
        const { sends, caller, ends, parts } = start();
        sends[0]?.receiver.sent();
        caller.leave();
        expect([sends[0]?.cancelled, ends(), parts.loadTracker.get("a")]).to.deep.equal([true, 1, undefined]);
    });

    it("moves from a head that makes no progress to another group and resumes there", () => {
        const { sends, caller, relay } = start();
        begin(sends[0], 1, 2);
        relay.moveToAnotherGroup();
        begin(sends[1], 3).receiver.ended();
        expect([caller.body, sends[0]?.cancelled]).to.deep.equal([text(1, 2, 3), true]);
    });

    it("keeps waiting for a silent head when there is no other one", () => {
        const { sends, caller, relay } = start({ targets: ["a"] });
        const send = begin(sends[0], 1);
        relay.moveToAnotherGroup();
        send.receiver.data(event(2));
        send.receiver.ended();
        expect([caller.body, sends.length]).to.deep.equal([text(1, 2), 1]);
    });

    it("resumes after the last event that the caller has", () => {
        const { sends, caller } = start({ lastEventId: 7 });
        begin(sends[0], 7, 8).receiver.ended();
        expect(caller.body).to.equal(text(8));
    });

    it("ends at the timeout of the route and closes the target's connection", async () => {
        const { sends, caller, ends } = start({ timeoutMilliseconds: 300 });
        begin(sends[0], 1);
        await new Promise(resolve => setTimeout(resolve, 400));
        expect([caller.destroyed, sends[0]?.cancelled, ends()]).to.deep.equal([true, true, 1]);
    });

    it("forwards an error of the target unchanged when the request cannot be retried", () => {
        const { sends, caller } = start({ resumable: false });
        sends[0]?.receiver.sent();
        sends[0]?.receiver.head(responseHeads.error);
        sends[0]?.receiver.data(Buffer.from("why"));
        sends[0]?.receiver.ended();
        expect([caller.status, caller.body, caller.ended]).to.deep.equal([500, "why", true]);
    });
});
