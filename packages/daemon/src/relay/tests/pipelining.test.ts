/** A request that follows another on its connection before the response is handled only if it can get a response. */
import { expect } from "chai";
import type { ResponseHead } from "../../ports/relayprotocol.js";
import { createRelay, type Relay } from "../relay.js";
import { closeCallers, connectCaller, startFixture, statusesOf, wait } from "./callerfixture.js";
import {
    createRelayFixture,
    type FakeSend,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

const REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb";

interface Fixture extends Pick<RelayFixture, "sends"> {
    readonly port: number;
    readonly relay: Relay;
}

async function start(kind: RelayFixtureOptions["kind"], timeoutMilliseconds?: number): Promise<Fixture> {
    const { parts, context, sends } = createRelayFixture({ kind, timeoutMilliseconds });
    const protocol = { ...parts.protocol, decodeRequest: () => context.request };
    const relay = createRelay({ ...parts, protocol });
    const { port } = await startFixture(relay);
    return { sends, port, relay };
}

function answer(send: FakeSend | undefined, head: ResponseHead): void {
    send?.receiver.sent();
    send?.receiver.head(head);
    send?.receiver.ended();
}

describe("pipelined request", () => {
    afterEach(closeCallers);

    it("is not sent to a target if the response before it closes the connection", async () => {
        const { sends, port } = await start("once");
        const caller = await connectCaller(port);
        // A caller of HTTP/1.0 knows no chunks, so that the end of its connection is that of the body.
        caller.send(REQUEST.replace("HTTP/1.1", "HTTP/1.0") + REQUEST);
        await wait(50);
        answer(sends[0], { ...responseHeads.ok, delimited: false });
        await caller.closed;
        expect([statusesOf(caller.received()), sends.length]).to.deep.equal([[200], 1]);
    });

    it("leaves nothing behind when its caller has left", async () => {
        const { sends, port, relay } = await start("repeatable");
        const caller = await connectCaller(port);
        caller.send(REQUEST + REQUEST);
        await wait(50);
        caller.close();
        await wait(50);
        expect([relay.inProgress(), sends.every(({ cancelled }) => cancelled)]).to.deep.equal([0, true]);
    });

    it("is answered after the one before it, with its own deadline", async () => {
        const { sends, port } = await start("repeatable", 400);
        const caller = await connectCaller(port);
        caller.send(REQUEST + REQUEST);
        await wait(300);
        answer(sends[0], responseHeads.ok);
        await wait(200);
        expect(statusesOf(caller.received())).to.deep.equal([200, 504]);
    });
});

describe("request that is whole", () => {
    afterEach(closeCallers);

    [
        { name: "a length", head: "Content-Length: 2\r\n\r\n", body: "ok" },
        { name: "chunks", head: "Transfer-Encoding: chunked\r\n\r\n", body: "2\r\nok\r\n0\r\n\r\n" },
    ].forEach(({ name, head, body }) => {
        it(`is answered after Expect: 100-continue (${name})`, async () => {
            const { sends, port } = await start("once");
            const caller = await connectCaller(port);
            caller.send(`POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n${head}`);
            await wait(50);
            expect([statusesOf(caller.received()), sends.length]).to.deep.equal([[100], 0]);
            caller.send(body);
            await wait(50);
            answer(sends[0], responseHeads.ok);
            await wait(50);
            expect(statusesOf(caller.received())).to.deep.equal([100, 200]);
        });
    });

    it("ends with its caller that sends a FIN, which cannot be told from a caller that has left", async () => {
        const { sends, port, relay } = await start("repeatable");
        const caller = await connectCaller(port);
        caller.send(REQUEST);
        await wait(50);
        caller.halfClose();
        await caller.closed;
        await wait(50);
        expect([sends[0]?.cancelled, relay.inProgress(), caller.received()]).to.deep.equal([true, 0, ""]);
    });

    it("is not taken for one when its chunked body is cut off", async () => {
        const { sends, port, relay } = await start("once");
        const caller = await connectCaller(port);
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n");
        await wait(50);
        caller.halfClose();
        await caller.closed;
        expect([sends.length, relay.inProgress(), caller.received()]).to.deep.equal([0, 0, ""]);
    });
});
