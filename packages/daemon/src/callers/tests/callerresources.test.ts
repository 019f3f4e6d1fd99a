/**
 * Node's HTTP server parses each read at once, so that pipelined requests and tiny chunks took memory and time without bound, and
 * bodies of many callers together took more memory than the daemon has.
 */
import { expect } from "chai";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { readWithinLimits } from "../../relay/body.js";
import { type CallerResources, createCallerResources } from "../callerresources.js";

const LIMITS = { headerBytes: 16_384, bodyBytes: 4_194_304 };
const CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
const MOST_PARSED_BYTES = 2_000_000;
const LARGE_BODY_BYTES = 3_000_000;

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

describe("resources held for callers", () => {
    let server: Server;
    let resources: CallerResources;
    const sockets: Socket[] = [];
    let events: Readonly<Record<string, unknown>>[] = [];

    const listen = async (
        handle: (message: IncomingMessage, response: ServerResponse) => void,
        memoryMegabytes = 250,
    ): Promise<void> => {
        server = createServer(handle);
        // Reports of an earlier test come late.
        const emitted: typeof events = [];
        events = emitted;
        resources = createCallerResources(memoryMegabytes, {
            emit: (name, fields = {}) => void emitted.push({ name, ...fields }),
        });
        resources.protect(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    };
    const call = (text: string): { readonly received: () => string; readonly socket: Socket; } => {
        const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
        let received = "";
        socket.on("error", () => undefined);
        socket.on("data", (bytes: Buffer) => {
            received += bytes.toString("latin1");
        });
        socket.write(text, "latin1");
        sockets.push(socket);
        return { received: () => received, socket };
    };
    const answerWithBody = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
        const read = await readWithinLimits(message, LIMITS);
        response.end(`${message.url} ${read.kind === "whole" ? read.body.toString("latin1") : read.kind};`);
    };

    afterEach(() => {
        sockets.splice(0).forEach(socket => socket.destroy());
        server.close();
    });

    it("are a few requests of a connection whose responses are open; further ones are read as these end", async () => {
        const responses: ServerResponse[] = [];
        await listen((...[, response]) => void responses.push(response));
        call("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(5_000));
        await wait(100);
        expect(responses.length).to.equal(4);
        expect(resources.heldBytes()).to.be.below(4 * 8_192 + 8_192 + 65_536 + 1);
        for (let index = 0; index < 20; index += 1) {
            responses[index]?.end();
            await wait(5);
        }
        expect(responses.length).to.equal(24);
    });

    // Heads and bodies that are divided between reads at each place must be parsed as if they came whole.
    [1, 2, 3, 5, 7, 64, 1_000].forEach(size =>
        it(`leave requests whole that arrive in pieces of ${size} bytes`, async () => {
            await listen((message, response) => void answerWithBody(message, response));
            const caller = call("");
            caller.socket.setNoDelay(true);
            const body = "\r\n\r\nGET /no HTTP/1.1\r\n\r\n";
            const text = [
                `POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
                "GET /b HTTP/1.1\r\nHost: h\r\n\r\n",
                `POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n\r\n\r\n\r\n2\r\nok\r\n0\r\n\r\n`,
                "GET /d HTTP/1.1\r\nHost: h\r\n\r\n".repeat(3),
            ].join("");
            for (let offset = 0; offset < text.length; offset += size) {
                caller.socket.write(text.slice(offset, offset + size));
                await new Promise(resolve => setImmediate(resolve));
            }
            await wait(200);
            const answers = [...caller.received().matchAll(/(\/[a-z] [^;]*);/g)].map(([, answer]) => answer);
            expect(answers).to.deep.equal([`/a ${body}`, "/b ", "/c \r\n\r\nok", "/d ", "/d ", "/d "]);
        })
    );

    it("let other callers be served while tiny chunks arrive", async () => {
        await listen((message, response) => void answerWithBody(message, response));
        const tiny = CHUNKED_HEAD + "1\r\nx\r\n".repeat(500_000);
        Array.from({ length: 8 }).forEach(() => call(tiny));
        const caller = call("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
        while (caller.received() === "") {
            await wait(10);
        }
        // The bodies are 4 MB in all, of which most were not parsed yet.
        expect([caller.received().includes("/b ;"), resources.heldBytes() < MOST_PARSED_BYTES]).to.deep.equal([
            true,
            true,
        ]);
    });

    it("are bodies up to the bound; the one that is largest and stands still is refused for the next", async () => {
        await listen((message, response) => void answerWithBody(message, response), 10);
        const start = CHUNKED_HEAD + `${LARGE_BODY_BYTES.toString(16)}\r\n` + "x".repeat(LARGE_BODY_BYTES);
        const stalled = Array.from({ length: 8 }, () => call(start));
        await wait(3_000);
        expect(resources.heldBytes()).to.be.below(16_777_216);
        expect(stalled.some(({ received }) => received().includes("overloaded"))).to.equal(true);
        const caller = call("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
        const large = call(start + "\r\n0\r\n\r\n");
        await wait(3_000);
        expect(caller.received()).to.contain("/b ok;");
        expect(large.received().length).to.be.above(LARGE_BODY_BYTES);
        sockets.splice(0).forEach(socket => socket.destroy());
        await wait(100);
        expect([resources.heldBytes(), resources.connections()]).to.deep.equal([0, 0]);
    });

    it("are refused before they are received if their stated length is over the limit", async () => {
        await listen((message, response) => void answerWithBody(message, response));
        const caller = call("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000000\r\n\r\n");
        await wait(100);
        expect(caller.received()).to.contain("/a body-too-large;");
    });

    it("are reported by measure with the addresses of the callers, together", async () => {
        await listen(() => undefined);
        Array.from({ length: 3 }).forEach(() => call("GET / HTTP/1.1\r\nHost: h\r\n\r\n".repeat(100)));
        await wait(5_200);
        expect(events).to.deep.equal([
            { name: "callersLimited", measure: "reading-paused", count: 3, addresses: ["127.0.0.1 (3)"] },
        ]);
    });
});
