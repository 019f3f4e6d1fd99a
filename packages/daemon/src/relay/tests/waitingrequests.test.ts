/** Requests that are pipelined behind a long response are read up to a bound, and all of them are answered. */
import { expect } from "chai";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { MAXIMUM_WAITING_BYTES } from "../requestorder.js";
import { closeCallers, connectCaller, startFixture, wait } from "./callerfixture.js";

/** Most that one read of a connection returns. */
const READ_BYTES = 65_536;

const cases = [
    { name: "many small requests", count: 8_000, bodyBytes: 1 },
    { name: "requests with bodies", count: 400, bodyBytes: 8_000 },
    { name: "requests with bodies that arrive in several reads", count: 30, bodyBytes: 150_000 },
];

function requestOf(index: number, bodyBytes: number): string {
    return `POST /${index} HTTP/1.1\r\nHost: h\r\nContent-Length: ${bodyBytes}\r\n\r\n${"b".repeat(bodyBytes)}`;
}

async function readBytes(message: IncomingMessage): Promise<number> {
    const chunks: Buffer[] = await message.toArray();
    return Buffer.concat(chunks).length;
}

describe("requests that wait for a long response", function() {
    this.timeout(20_000);
    afterEach(closeCallers);

    cases.forEach(({ name, count, bodyBytes }) => {
        it(`are not read without a bound and are all answered in order (${name})`, async () => {
            let socket: Socket | undefined;
            let first: ServerResponse | undefined;
            const { port } = await startFixture(async (message, response) => {
                const bytes = await readBytes(message);
                if (first === undefined) {
                    first = response;
                    socket = message.socket;
                    return;
                }
                response.end(`[${message.url}:${bytes}]`);
            });
            const caller = await connectCaller(port);
            const indexes = Array.from({ length: count }, (...[, index]) => index);
            caller.send(indexes.map(index => requestOf(index, bodyBytes)).join(""));
            await wait(500);
            const bytesRead = socket?.bytesRead;
            first?.end(`[/0:${bodyBytes}]`);
            const expected = indexes.map(index => `[/${index}:${bodyBytes}]`);
            for (let tries = 0; tries < 100 && !caller.received().includes(expected.at(-1) ?? ""); tries += 1) {
                await wait(100);
            }

            expect(bytesRead).to.be.within(1, bodyBytes + MAXIMUM_WAITING_BYTES + 2 * READ_BYTES);
            expect(caller.received().match(/\[[^\]]*\]/g)).to.deep.equal(expected);
        });
    });

    it("are read on after each response while the one before them is slowly read by its caller", async () => {
        let handled = 0;
        const { port } = await startFixture(async (...[, response]) => {
            handled += 1;
            response.end(Buffer.alloc(200_000, "x"));
        });
        const caller = await connectCaller(port);
        caller.send(Array.from({ length: 100 }, (...[, index]) => requestOf(index, 1)).join(""));
        for (let tries = 0; tries < 100 && caller.received().length < 100 * 200_000; tries += 1) {
            await wait(100);
        }
        expect([handled, caller.received().match(/HTTP\/1\.1 200/g)?.length]).to.deep.equal([100, 100]);
    });
});
