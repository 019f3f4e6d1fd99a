/**
 * A response that ends with its connection gets a marked end, unless its caller knows none, and a stream resumed at one is
 * complete only if it was closed after an event.
 */
import { expect } from "chai";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { createPlainRelay } from "../plainrelay.js";
import { writeResponseHead } from "../responses.js";
import { createStreamRelay } from "../streamrelay.js";
import type { ResponseReceiver } from "../targetconnections.js";
import { wait } from "./callerfixture.js";
import { createRelayFixture, responseHeads } from "./fixture.js";

/** Returns the bytes that a caller receives for a response with or without a marked end. */
function bytesOf(delimited: boolean, version = "1.1"): Promise<string> {
    const server = createServer((...[, response]) => {
        const length = delimited ? ["Content-Length", "2"] : [];
        writeResponseHead(response, { status: 200, headers: {}, delimited }, length);
        response.end("ok");
    });
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => {
            const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
            let text = "";
            socket.write(`GET / HTTP/${version}\r\nHost: h\r\n\r\n`);
            socket.on("data", chunk => {
                text += chunk.toString();
                if (/ok$|0\r\n\r\n$/.test(text)) {
                    socket.end();
                }
            });
            socket.on("close", () => {
                server.close();
                resolve(text.toLowerCase());
            });
        });
    });
}

describe("response without a marked end", () => {
    // The connection of a killed daemon is closed in the ordinary way, which looked like the end of the body.
    it("is forwarded with a marked end", async () => {
        const text = await bytesOf(false);
        expect(text).to.contain("transfer-encoding: chunked").and.not.contain("content-length");
        expect(text).to.match(/\r\n2\r\nok\r\n0\r\n\r\n$/);
    });

    it("is forwarded without one to a caller that speaks HTTP/1.0", async () => {
        const text = await bytesOf(false, "1.0");
        expect(text).to.contain("connection: close").and.not.contain("content-length").and.not.contain("chunked");
    });

    it("keeps its length if it has a marked end", async () => {
        expect(await bytesOf(true)).to.contain("content-length: 2");
    });

    it("gets no Content-Length from the plain relay", () => {
        const { context, parts, sends, caller } = createRelayFixture({ kind: "once" });
        createPlainRelay(context, parts, () => undefined).start();
        sends[0]?.receiver.sent();
        sends[0]?.receiver.head({ ...responseHeads.ok, delimited: false });
        sends[0]?.receiver.data(Buffer.from("cut"));
        sends[0]?.receiver.ended();
        expect([caller.status, caller.body, caller.headers.includes("Content-Length")]).to.deep.equal([
            200,
            "cut",
            false,
        ]);
    });

    const event = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: x\n\n`);
    const resumedEndings: readonly {
        readonly name: string;
        readonly chunks: readonly Buffer[];
        readonly end: (receiver: ResponseReceiver) => void;
        readonly ended: boolean;
    }[] = [
        { name: "was closed after an event", chunks: [event(2)], end: receiver => receiver.ended(), ended: true },
        {
            name: "was closed inside an event",
            chunks: [event(2), Buffer.from("id: 3\nda")],
            end: receiver => receiver.ended(),
            ended: false,
        },
        { name: "was closed before any event", chunks: [], end: receiver => receiver.ended(), ended: false },
        {
            name: "was reset after an event",
            chunks: [event(2)],
            end: receiver => receiver.failed(new Error("reset")),
            ended: false,
        },
    ];
    resumedEndings.forEach(({ name, chunks, end, ended }) =>
        it(`${ended ? "completes" : "does not complete"} a stream with a marked end whose resumed response ${name}`, async () => {
            const { context, parts, sends, caller } = createRelayFixture({ kind: "stream", resumable: true });
            createStreamRelay(context, parts, () => undefined).start();
            sends[0]?.receiver.sent();
            sends[0]?.receiver.head(responseHeads.stream);
            sends[0]?.receiver.data(event(1));
            sends[0]?.receiver.failed(new Error("reset"));
            sends[1]?.receiver.sent();
            sends[1]?.receiver.head({ ...responseHeads.stream, delimited: false });
            chunks.forEach(chunk => sends[1]?.receiver.data(chunk));
            if (sends[1] !== undefined) {
                end(sends[1].receiver);
            }
            await wait(1);
            expect([caller.ended, caller.destroyed]).to.deep.equal([ended, !ended]);
        })
    );

    // The connections of a killed target are closed in the ordinary way, wherever its streams were: ORDER.
    describe("of a target whose process has ended after an event", () => {
        const endings: readonly {
            readonly name: string;
            readonly resumable: boolean;
            readonly resume?: (receiver: ResponseReceiver) => void;
            readonly seen: { readonly ids: readonly (number | undefined)[]; readonly ended: boolean; };
        }[] = [
            {
                name: "goes on at another group",
                resumable: true,
                resume: receiver => receiver.data(event(2)),
                seen: { ids: [undefined, 1], ended: true },
            },
            {
                name: "is complete if another group has no more of it",
                resumable: true,
                seen: { ids: [undefined, 1], ended: true },
            },
            {
                name: "is not complete if the other answer ends before an event with its connection",
                resumable: true,
                resume: receiver => receiver.head({ ...responseHeads.stream, delimited: false }),
                seen: { ids: [undefined, 1], ended: false },
            },
            {
                name: "is not complete if it may not be resumed",
                resumable: false,
                seen: { ids: [undefined], ended: false },
            },
        ];
        endings.forEach(({ name, resumable, resume, seen }) =>
            it(name, async () => {
                const isTargetAlive = (): Promise<boolean> => Promise.resolve(false);
                const { context, parts, sends, caller } = createRelayFixture({
                    kind: "stream",
                    resumable,
                    isTargetAlive,
                });
                createStreamRelay(context, parts, () => undefined).start();
                sends[0]?.receiver.sent();
                sends[0]?.receiver.head({ ...responseHeads.stream, delimited: false });
                sends[0]?.receiver.data(event(1));
                sends[0]?.receiver.ended();
                await wait(1);
                sends[1]?.receiver.sent();
                sends[1]?.receiver.head(responseHeads.stream);
                if (sends[1] !== undefined) {
                    resume?.(sends[1].receiver);
                    sends[1].receiver.ended();
                }
                await wait(1);
                const ids = sends.map(({ request }) => {
                    const position = request.headers.indexOf("lastEventId");
                    const value = request.headers[position + 1];
                    return position < 0 || value === "undefined" ? undefined : Number(value);
                });
                expect({ ids, ended: caller.ended }).to.deep.equal(seen);
                expect(caller.destroyed).to.equal(!seen.ended);
            })
        );
    });
});
