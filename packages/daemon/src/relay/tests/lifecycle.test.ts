/** A shutdown answers each request that the daemon has begun to read, and reads none once it has left the rotation. */
import { freePort } from "@damaskvale/stand-ins";
import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { type Listeners, startListeners } from "../lifecycle.js";
import type { Relay } from "../relay.js";
import { createRelayState } from "../state.js";

const LEFT_ROTATION_MILLISECONDS = 3_000;
const SHUTDOWN_MILLISECONDS = 8_000;

interface Fixture {
    readonly listeners: Listeners;
    readonly socket: Socket;
    /** What the caller received. */
    readonly received: () => string;
    readonly closed: Promise<void>;
}

/** Starts listeners whose relay answers as the test tells it, and connects a caller. */
async function start(handle: Relay["handle"]): Promise<Fixture> {
    const callerPort = await freePort();
    const readinessPort = await freePort();
    const relay: Relay = {
        handle,
        handleFromDaemon: handle,
        inProgress: () => 0,
        moveStreams: () => undefined,
        cancelWaiting: () => undefined,
        beginShutdown: () => undefined,
        stop: () => undefined,
    };
    const listeners = await startListeners({
        log: { emit: () => undefined },
        relay,
        state: createRelayState(),
        callerListen: `127.0.0.1:${callerPort}`,
        readinessListen: `127.0.0.1:${readinessPort}`,
        shutdownMilliseconds: SHUTDOWN_MILLISECONDS,
    });
    const socket = connect(callerPort, "127.0.0.1");
    let received = "";
    socket.on("data", (chunk: Buffer) => {
        received += chunk.toString();
    });
    socket.on("error", () => undefined);
    const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    await new Promise<void>(resolve => socket.once("connect", () => resolve()));
    return { listeners, socket, received: () => received, closed };
}

/** Answers a request once its body has arrived. */
const answerWholeRequest: Relay["handle"] = async (message, response) => {
    message.resume();
    await new Promise(resolve => message.once("end", resolve));
    response.end("done");
};
const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));
const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";

describe("shutdown of the listeners", function() {
    this.timeout(20_000);

    it("reads no request on a kept connection after the daemon has left the rotation", async () => {
        const handled: number[] = [];
        const { listeners, socket, closed } = await start(async (...[, response]) => {
            handled.push(handled.length);
            response.writeHead(200, { "Content-Length": "4" });
            response.write("ab");
            setTimeout(() => response.end("cd"), LEFT_ROTATION_MILLISECONDS);
        });
        socket.write(`${request}ab`);
        await wait(100);
        const stopped = listeners.shutDown();
        await wait(LEFT_ROTATION_MILLISECONDS + 200);
        socket.write(`${request}ab`);
        await closed;
        await stopped;
        expect(handled).to.deep.equal([0]);
    });

    it("answers a request whose body is still on its way when all others have ended", async () => {
        const { listeners, socket, received } = await start(answerWholeRequest);
        const answeredBeforeExit = listeners.shutDown().then(received);
        await wait(LEFT_ROTATION_MILLISECONDS - 500);
        socket.write(`${request}a`);
        await wait(1_000);
        socket.write("b");
        expect(await answeredBeforeExit).to.match(/^HTTP\/1\.1 200 OK[^]*done/);
    });

    it("answers a request whose head is still on its way when all others have ended", async () => {
        const { listeners, socket, received } = await start(answerWholeRequest);
        const answeredBeforeExit = listeners.shutDown().then(received);
        await wait(LEFT_ROTATION_MILLISECONDS - 500);
        socket.write(request.slice(0, 20));
        await wait(1_000);
        socket.write(`${request.slice(20)}ab`);
        expect(await answeredBeforeExit).to.match(/^HTTP\/1\.1 200 OK[^]*done/);
    });

    it("closes a connection that had no request, so that none is read after its end", async () => {
        const { listeners, closed } = await start(() => Promise.resolve());
        await listeners.shutDown();
        await closed;
    });
});
