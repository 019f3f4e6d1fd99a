/** A slow caller gets its whole response, and hides no crash of a target. */
import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { createCrashObserver } from "../crashobserver.js";
import { createRelay } from "../relay.js";
import { connectCaller, startFixture, statusesOf, wait } from "./callerfixture.js";
import { createRelayFixture } from "./fixture.js";
import { relayThroughSockets, type TargetScript } from "./socketfixture.js";

const REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb";
const BODY_BYTES = 8_000_000;
const CHUNK = "x".repeat(16_384);
const CHUNKS = 19;

describe("slow callers", function() {
    this.timeout(15_000);

    [true, false].forEach(isLengthStated =>
        it(`are not cut off by a shutdown while they read a response ${isLengthStated ? "with" : "without"} a length`, async () => {
            const { listeners, port } = await startFixture(async (...[, response]) => {
                if (!isLengthStated) {
                    response.shouldKeepAlive = false;
                    response.useChunkedEncodingByDefault = false;
                }
                response.writeHead(200, isLengthStated ? ["Content-Length", String(BODY_BYTES)] : []);
                response.end(Buffer.alloc(BODY_BYTES, "x"));
            });
            const socket = connect(port, "127.0.0.1");
            let received = 0;
            socket.on("error", () => undefined);
            socket.on("data", chunk => {
                received += chunk.length;
            });
            socket.pause();
            socket.write(REQUEST);
            await wait(300);
            const stopped = listeners.shutDown();
            await wait(3_200);
            socket.resume();
            await stopped;
            await wait(300);
            expect(received).to.be.above(BODY_BYTES);
        })
    );

    it("get a sound body without a stated length although the budget allows no other attempt", async () => {
        const sound: TargetScript = (socket: Socket) => {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.end(`4000\r\n${CHUNK}\r\n`.repeat(CHUNKS) + "0\r\n\r\n");
        };
        const result = await relayThroughSockets({ kind: "repeatable", retries: 0 }, [sound, sound]);
        expect([result.status, result.outcome, result.sends]).to.deep.equal([200, "complete", 1]);
    });

    it("have no request sent to a target after its time has passed behind another one", async () => {
        const { parts, context, sends } = createRelayFixture({ kind: "once", timeoutMilliseconds: 200 });
        const requests = [context.request, { ...context.request, deadlineMilliseconds: 50 }];
        const protocol = { ...parts.protocol, decodeRequest: () => requests.shift() ?? context.request };
        const { port } = await startFixture(createRelay({ ...parts, protocol }));
        const caller = await connectCaller(port);
        caller.send(REQUEST + REQUEST);
        await wait(500);
        expect([statusesOf(caller.received()), sends.length]).to.deep.equal([[504, 503], 1]);
    });

    [true, false].forEach(isPaused =>
        it(`${isPaused ? "do not withdraw" : "let others withdraw"} a crash by events that are read late`, () => {
            let now = 0;
            const alive: string[] = [];
            const observer = createCrashObserver({
                clock: { monotonic: () => now, wall: () => now },
                onProven: () => undefined,
                onCrash: () => undefined,
                onAlive: ({ id }) => void alive.push(id),
            });
            const begun = observer.observe({ id: "a" }, ["p"]);
            begun.sent();
            begun.progressed();
            const lost = observer.observe({ id: "a" }, ["q"]);
            lost.sent();
            now = 100;
            lost.connectionLost();
            if (isPaused) {
                begun.paused();
            }
            now = 1_000;
            begun.progressed();
            expect(alive).to.deep.equal(isPaused ? [] : ["a"]);
        })
    );
});
