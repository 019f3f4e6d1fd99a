/**
 * A faulty server sends a status that no answer has: the caller got a 600 or 999 as an answer, and a request that may have run
 * could be taken for one that was answered. Guards all kinds of route, and answers of the store, engines and other daemons.
 */
import { expect } from "chai";
import { type AddressInfo, createServer, type Server } from "node:net";
import { createHandOver } from "../handover.js";
import { callServer } from "../servercall.js";
import { createTargetConnections, type TargetConnections } from "../targetconnections.js";
import { createRelayFixture } from "./fixture.js";
import { relayThroughSockets, type SocketRelayOptions, type TargetScript } from "./socketfixture.js";

const BODY = "id: 1\ndata: x\n\n";
const headOf = (status: string): string =>
    `HTTP/1.1 ${status} X\r\nRequest-Id: r1\r\nContent-Length: ${BODY.length}\r\n\r\n`;
const answer = (status: string): TargetScript => socket => void socket.end(headOf(status) + BODY);

const invalid = ["000", "099", "20", "2000", "-12", "600", "601", "999"];
const valid = ["200", "299", "404", "599"];
const kinds: readonly { readonly name: string; readonly options: SocketRelayOptions; }[] = [
    { name: "unsafe", options: { kind: "once" } },
    { name: "safe", options: { kind: "repeatable" } },
    { name: "streaming, plain target", options: { kind: "stream", isPlain: true } },
    { name: "streaming, model server", options: { kind: "stream" } },
];

describe("answer with an invalid status (real sockets)", () => {
    kinds.forEach(({ name, options }) => {
        it(`reaches no caller as an answer, whose request may have run: ${name}`, async () => {
            const seen = await Promise.all(invalid.map(async status => {
                const { status: received, body } = await relayThroughSockets(options, [answer(status)]);
                return [status, received, body.includes(BODY)];
            }));
            expect(seen).to.deep.equal(invalid.map(status => [status, 502, false]));
        });

        it(`is told from valid ones at the edges of the range: ${name}`, async () => {
            const statuses = options.kind === "stream" && options.isPlain !== true ? ["200"] : valid;
            const seen = await Promise.all(
                statuses.map(async status => (await relayThroughSockets(options, [answer(status)])).status),
            );
            expect(seen).to.deep.equal(statuses.map(Number));
        });
    });

    it("is followed by one more attempt if the request is repeatable, and by none if it is not", async () => {
        const scripts = [answer("600"), answer("200")];
        const [repeatable, once] = await Promise.all([
            relayThroughSockets({ kind: "repeatable" }, scripts),
            relayThroughSockets({ kind: "once" }, scripts),
        ]);
        expect([repeatable.status, repeatable.sends, once.status, once.sends]).to.deep.equal([200, 2, 502, 1]);
    });
});

describe("answer with an invalid status to a daemon's own call", () => {
    let server: Server;
    let connections: TargetConnections;
    let status = "";

    before(async () => {
        server = createServer(socket => {
            socket.on("error", () => undefined);
            socket.once("data", () => answer(status)(socket));
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        connections = createTargetConnections({ connectionsPerTarget: 1, connectTimeoutMilliseconds: 500 });
    });
    after(() => server.close());

    const portOf = (): number => (server.address() as AddressInfo).port;

    invalid.forEach(value => {
        it(`fails the call: ${value}`, async () => {
            status = value;
            const outcome = await callServer(connections, {
                address: `127.0.0.1:${portOf()}`,
                method: "GET",
                path: "/",
                headers: [],
                body: Buffer.alloc(0),
                onNewConnection: true,
                timeoutMilliseconds: 1_000,
                maximumBodyBytes: 1_000,
            }).then(received => received.status, () => "failed");
            expect(outcome).to.equal("failed");
        });

        it(`of another daemon is no answer to a request that was handed over: ${value}`, async () => {
            status = value;
            const { context, parts, caller } = createRelayFixture({ kind: "once" });
            await new Promise<void>(resolve =>
                createHandOver(context, parts, {
                    connections,
                    port: portOf(),
                    mayHaveRun: false,
                    choose: excluded =>
                        excluded.length === 0 ? { daemon: "d1", ip: "127.0.0.1", dataCentre: "a" } : undefined,
                }, resolve).start()
            );
            expect([caller.status, caller.body.includes(BODY)]).to.deep.equal([502, false]);
        });
    });
});
