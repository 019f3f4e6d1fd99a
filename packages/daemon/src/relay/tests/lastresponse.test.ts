/** A caller on a slow link gets the whole of the last response of its connection. */
import { expect } from "chai";
import { connect } from "node:net";
import { startFixture, wait } from "./callerfixture.js";

const BODY_BYTES = 8_000_000;
const CHUNK_BYTES = 400_000;
/** The kernel holds some megabytes for a caller that does not read. */
const UNREAD_MILLISECONDS = 3_000;
const PAUSE_MILLISECONDS = 150;

const cases: readonly { readonly caller: string; readonly read: (pause: number) => number; }[] = [
    { caller: "stops to read for some seconds", read: pause => pause === 0 ? UNREAD_MILLISECONDS : 0 },
    { caller: "reads slowly all the time", read: () => PAUSE_MILLISECONDS },
];

describe("last response of a connection", function() {
    this.timeout(20_000);

    cases.forEach(({ caller, read }) =>
        it(`is whole for a caller that ${caller}`, async () => {
            const { port } = await startFixture(async (...[, response]) => {
                response.writeHead(200, ["Content-Length", String(BODY_BYTES)]);
                response.end(Buffer.alloc(BODY_BYTES, "x"));
            });
            const socket = connect({ port, host: "127.0.0.1" });
            const ended = new Promise(resolve => socket.once("close", resolve));
            socket.on("error", () => undefined);
            let received = 0;
            socket.write("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 1\r\n\r\nb");
            socket.on("end", () => socket.end());
            socket.pause();
            for (let pause = 0; received < BODY_BYTES && !socket.destroyed && !socket.readableEnded; pause += 1) {
                await wait(Math.max(1, read(pause)));
                received += (socket.read(Math.min(CHUNK_BYTES, socket.readableLength)) as Buffer | undefined)?.length
                    ?? 0;
            }
            socket.resume();
            await ended;
            expect(received).to.be.above(BODY_BYTES - 1);
        })
    );
});
