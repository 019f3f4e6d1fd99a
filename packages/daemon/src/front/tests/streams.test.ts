import { expect } from "chai";
import type { RequestListener } from "node:http";
import { TEAM_KEY } from "../../dispatch/tests/fakes.js";
import { chat, chunkOf, contentsOf, sendRaw, streamOf, until, withTestServer } from "./testserver.js";

/** Handles new requests with one handler and resumptions with another. */
const routed = (fresh: RequestListener, resumed: RequestListener): RequestListener => (request, response) =>
    request.url!.startsWith("/attempts/") ? resumed(request, response) : fresh(request, response);
const notFound: RequestListener = (...[, response]) => void response.writeHead(404).end("{}");
const events = (...lines: string[]): RequestListener => (...[, response]) =>
    void response.writeHead(200, { "content-type": "text/event-stream" }).end(`${lines.join("\n\n")}\n\n`);
const data = (content: string, id?: string): string => `data: ${chunkOf(content, id)}`;

describe("streams over HTTP", () => {
    const cases: { guards: string; engine: RequestListener; contents: string; end: string; counts?: string[]; }[] = [
        {
            guards: "a connection that goes silent within a stream loses its rest",
            engine: routed(streamOf(["a", "b"], "hang"), streamOf(["c"], "done")),
            contents: "abc",
            end: "[DONE]",
            counts: ["lost connection"],
        },
        {
            guards: "a connection that goes silent before the first byte loses the request",
            engine: routed(() => undefined, streamOf(["a"], "done")),
            contents: "a",
            end: "[DONE]",
            counts: ["lost connection"],
        },
        {
            guards: "an event of another attempt, late or swapped, reaches the caller",
            engine: events(data("a", "one"), data("x", "two"), data("b", "one"), "data: [DONE]"),
            contents: "ab",
            end: "[DONE]",
            counts: ["foreign"],
        },
        {
            guards: "an event marked with another attempt's id reaches the caller",
            engine: events(data("a"), `id: other-1/1\n${data("x")}`, data("b"), "data: [DONE]"),
            contents: "ab",
            end: "[DONE]",
            counts: ["foreign"],
        },
        {
            guards: "events that are sent twice are delivered twice",
            engine: events(`id: 0\n${data("a")}`, `id: 0\n${data("a")}`, `id: 1\n${data("b")}`, "data: [DONE]"),
            contents: "ab",
            end: "[DONE]",
        },
        {
            guards: "a stream with a gap is marked complete",
            engine: routed(events(`id: 0\n${data("a")}`, `id: 2\n${data("c")}`, "data: [DONE]"), notFound),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            guards: "a gap is not filled by a resumption",
            engine: routed(
                events(`id: 0\n${data("a")}`, `id: 2\n${data("c")}`, "data: [DONE]"),
                events(`id: 1\n${data("b")}`, `id: 2\n${data("c")}`, "data: [DONE]"),
            ),
            contents: "abc",
            end: "[DONE]",
        },
        {
            guards: "an error event of the engine is marked complete",
            engine: events(data("a"), 'data: {"error":{"message":"broken"}}'),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            guards: "a stream without its end marker is marked complete",
            engine: routed(events(data("a")), notFound),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            guards: "comments of a queued request do not count as progress",
            engine: (...[, response]) => {
                response.writeHead(200, { "content-type": "text/event-stream" }).flushHeaders();
                const timer = setInterval(() => response.write(": queued\n\n"), 60);
                setTimeout(() => {
                    clearInterval(timer);
                    response.end(`${data("a")}\n\ndata: [DONE]\n\n`);
                }, 400);
            },
            contents: "a",
            end: "[DONE]",
        },
    ];
    cases.forEach(({ guards, engine, contents, end, counts = [] }) => {
        it(`does not fail like this: ${guards}`, () =>
            withTestServer({ engines: [engine] }, async server => {
                const { text } = await chat(server, { stream: true });

                expect(contentsOf(text)).to.equal(contents);
                expect(text.trimEnd().split("\n").at(-1)).to.contain(end);
                expect(text.includes("[DONE]")).to.equal(end === "[DONE]");
                counts.forEach(name => expect(server.counts).to.have.property(name, 1));
            }));
    });

    it("cancels at the engine when the caller disconnects", () =>
        withTestServer({ engines: [streamOf(["a"], "hang")] }, async server => {
            const caller = new AbortController();
            const response = await fetch(`${server.url}/v1/chat/completions`, {
                method: "POST",
                headers: { "authorization": `Bearer ${TEAM_KEY}`, "content-type": "application/json" },
                body: JSON.stringify({ model: "notes", messages: [{ role: "user" }], stream: true }),
                signal: caller.signal,
            });
            await response.body!.getReader().read();
            caller.abort();
            await until(() => server.engines[0]!.cancelled.length === 1);

            expect(server.engines[0]!.cancelled).to.deep.equal([
                `/attempts/${response.headers.get("x-damaskvale-request-id")}-1`,
            ]);
            await until(() => server.dispatcher.inProgress() === 0);
        }));

    it("ends a stream at the deadline with an error event and cancels it at the engine", () =>
        withTestServer({ engines: [routed(streamOf(["a"], "hang"), streamOf([], "hang"))] }, async server => {
            const { text } = await chat(server, { stream: true }, { "x-damaskvale-deadline-ms": "120" });

            expect(text).to.contain("stream_incomplete").and.not.to.contain("[DONE]");
            await until(() => server.engines[0]!.cancelled.length === 1);
        }));

    it("tells the outcome of a stream in its trailer, because its header cannot know it", () =>
        withTestServer({ engines: [streamOf(["a"], "done")] }, async server => {
            const body = JSON.stringify({ model: "notes", messages: [{ role: "user" }], stream: true });
            const answer = await sendRaw(
                server,
                `POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\n`
                    + `authorization: Bearer ${TEAM_KEY}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
            );

            expect(answer.match(/x-damaskvale-outcome: [a-z]+/gi)).to.deep.equal([
                "x-damaskvale-outcome: unknown",
                "x-damaskvale-outcome: complete",
            ]);
        }));

    it("holds the engine back while the caller does not read", async () => {
        const sent = { events: 0 };
        const flood: RequestListener = (...[, response]) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            const write = (): void => {
                for (let room = true; room && sent.events < 20_000; sent.events += 1) {
                    room = response.write(`${data("x".repeat(10_000))}\n\n`);
                }
            };
            response.on("drain", write);
            write();
        };
        await withTestServer({ engines: [flood] }, async server => {
            const response = await fetch(`${server.url}/v1/chat/completions`, {
                method: "POST",
                headers: { "authorization": `Bearer ${TEAM_KEY}`, "content-type": "application/json" },
                body: JSON.stringify({ model: "notes", messages: [{ role: "user" }], stream: true }),
            });
            await new Promise(resolve => setTimeout(resolve, 300));

            // Without back pressure all 200 MB pass; the buffers of sockets hold a few MB.
            expect(sent.events).to.be.greaterThan(10).and.lessThan(3_000);
            await response.body!.cancel();
        });
    });
});
