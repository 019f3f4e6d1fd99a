/** The last response of a connection reaches a caller that goes on sending, and requests behind it are not handled. */
import { expect } from "chai";
import { connect, type Socket } from "node:net";
import { closeCallers, type ListenerFixture, startFixture, statusesOf, wait } from "./callerfixture.js";

const REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb";
/** Time in which the daemon responds, or the operating system takes notice of bytes. */
const TURN_MILLISECONDS = 60;
/** Longest time for which the daemon waits for its caller to close. */
const LONGEST_CLOSE_MILLISECONDS = 3_000;

let handled = 0;

function startClosing(): Promise<ListenerFixture> {
    handled = 0;
    return startFixture((message, response) => {
        handled += 1;
        message.resume();
        response.setHeader("Connection", "close");
        response.end("refused");
        return Promise.resolve();
    });
}

/** Connects a caller that reads nothing before it is resumed. */
async function connectPaused(port: number): Promise<{ readonly socket: Socket; readonly result: Promise<string>; }> {
    const socket = connect(port, "127.0.0.1");
    socket.pause();
    await new Promise(resolve => socket.once("connect", resolve));
    let received = "";
    const result = new Promise<string>(resolve => {
        socket.on("data", chunk => {
            received += chunk.toString();
        });
        socket.on("close", () => resolve(received));
    });
    socket.on("error", () => undefined);
    socket.pause();
    return { socket, result };
}

describe("the last response of a connection", () => {
    afterEach(closeCallers);

    it("can be read by a caller that sends further requests first", async () => {
        const { port } = await startClosing();
        const { socket, result } = await connectPaused(port);
        socket.write(REQUEST);
        await wait(TURN_MILLISECONDS);
        socket.write(REQUEST);
        await wait(TURN_MILLISECONDS);
        socket.write(REQUEST);
        await wait(TURN_MILLISECONDS);
        socket.resume();
        expect(statusesOf(await result)).to.deep.equal([200]);
        expect(handled).to.equal(1);
    });

    it("ends the connection of a caller that never closes its side", async () => {
        const { port } = await startClosing();
        const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
        socket.on("error", () => undefined);
        socket.resume();
        socket.write(REQUEST);
        const startedAt = performance.now();
        const timer = setInterval(() => socket.write(REQUEST), TURN_MILLISECONDS);
        await new Promise(resolve => socket.once("close", resolve));
        clearInterval(timer);
        expect(performance.now() - startedAt).to.be.below(LONGEST_CLOSE_MILLISECONDS);
        expect(handled).to.equal(1);
    }).timeout(5_000);
});
