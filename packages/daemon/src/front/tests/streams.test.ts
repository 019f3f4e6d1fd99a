import { expect } from "chai";
import type { RequestListener } from "node:http";
import { TEAM_KEY } from "../../dispatch/tests/fakes.js";
import { chat, chunkOf, contentsOf, sendRaw, streamEvents, until, withTestServer } from "./testserver.js";

/** Routes new requests to one handler and resumptions to another. */
const routeResumptions = (fresh: RequestListener, resumed: RequestListener): RequestListener => (request, response) =>
    request.url!.startsWith("/attempts/") ? resumed(request, response) : fresh(request, response);
const notFound: RequestListener = (...[, response]) => void response.writeHead(404).end("{}");
const sendEvents = (...lines: string[]): RequestListener => (...[, response]) =>
    void response.writeHead(200, { "content-type": "text/event-stream" }).end(`${lines.join("\n\n")}\n\n`);
const dataEvent = (content: string, id?: string): string => `data: ${chunkOf(content, id)}`;

describe("streams over HTTP", () => {
    const cases: { title: string; engine: RequestListener; contents: string; end: string; counts?: string[]; }[] = [
        {
            title: "resumes a stream whose connection goes silent",
            engine: routeResumptions(streamEvents(["a", "b"], "hang"), streamEvents(["c"], "done")),
            contents: "abc",
            end: "[DONE]",
            counts: ["lost connection"],
        },
        {
            title: "resumes a stream whose connection goes silent before the first byte",
            engine: routeResumptions(() => undefined, streamEvents(["a"], "done")),
            contents: "a",
            end: "[DONE]",
            counts: ["lost connection"],
        },
        {
            title: "drops a late or misrouted event of another attempt",
            engine: sendEvents(dataEvent("a", "one"), dataEvent("x", "two"), dataEvent("b", "one"), "data: [DONE]"),
            contents: "ab",
            end: "[DONE]",
            counts: ["foreign"],
        },
        {
            title: "drops an event that carries the id of another attempt",
            engine: sendEvents(dataEvent("a"), `id: other-1/1\n${dataEvent("x")}`, dataEvent("b"), "data: [DONE]"),
            contents: "ab",
            end: "[DONE]",
            counts: ["foreign"],
        },
        {
            title: "delivers an event once that the engine sends twice",
            engine: sendEvents(
                `id: 0\n${dataEvent("a")}`,
                `id: 0\n${dataEvent("a")}`,
                `id: 1\n${dataEvent("b")}`,
                "data: [DONE]",
            ),
            contents: "ab",
            end: "[DONE]",
        },
        {
            title: "does not complete a stream with a gap",
            engine: routeResumptions(
                sendEvents(`id: 0\n${dataEvent("a")}`, `id: 2\n${dataEvent("c")}`, "data: [DONE]"),
                notFound,
            ),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            title: "fills a gap by resuming the stream",
            engine: routeResumptions(
                sendEvents(`id: 0\n${dataEvent("a")}`, `id: 2\n${dataEvent("c")}`, "data: [DONE]"),
                sendEvents(`id: 1\n${dataEvent("b")}`, `id: 2\n${dataEvent("c")}`, "data: [DONE]"),
            ),
            contents: "abc",
            end: "[DONE]",
        },
        {
            title: "does not complete a stream after an error event of the engine",
            engine: sendEvents(dataEvent("a"), 'data: {"error":{"message":"broken"}}'),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            title: "does not complete a stream without its end marker",
            engine: routeResumptions(sendEvents(dataEvent("a")), notFound),
            contents: "a",
            end: "stream_incomplete",
        },
        {
            title: "counts the comments of a queued request as progress",
            engine: (...[, response]) => {
                response.writeHead(200, { "content-type": "text/event-stream" }).flushHeaders();
                const timer = setInterval(() => response.write(": queued\n\n"), 60);
                setTimeout(() => {
                    clearInterval(timer);
                    response.end(`${dataEvent("a")}\n\ndata: [DONE]\n\n`);
                }, 400);
            },
            contents: "a",
            end: "[DONE]",
        },
    ];
    cases.forEach(({ title, engine, contents, end, counts = [] }) => {
        it(`stream events: ${title}`, () =>
            withTestServer({ engines: [engine] }, async server => {
                const { text } = await chat(server, { stream: true });

                expect(contentsOf(text)).to.equal(contents);
                expect(text.trimEnd().split("\n").at(-1)).to.contain(end);
                expect(text.includes("[DONE]")).to.equal(end === "[DONE]");
                counts.forEach(name => expect(server.counts).to.have.property(name, 1));
            }));
    });

    it("cancels the attempt at the engine when the caller disconnects", () =>
        withTestServer({ engines: [streamEvents(["a"], "hang")] }, async server => {
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
        withTestServer(
            { engines: [routeResumptions(streamEvents(["a"], "hang"), streamEvents([], "hang"))] },
            async server => {
                const { text } = await chat(server, { stream: true }, { "x-damaskvale-deadline-ms": "120" });

                expect(text).to.contain("stream_incomplete").and.not.to.contain("[DONE]");
                await until(() => server.engines[0]!.cancelled.length === 1);
            },
        ));

    it("sends the outcome of a stream in the trailer, because it is not known when the headers are sent", () =>
        withTestServer({ engines: [streamEvents(["a"], "done")] }, async server => {
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

    it("applies back pressure to the engine while the caller does not read", async () => {
        const sent = { events: 0 };
        const flood: RequestListener = (...[, response]) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            const write = (): void => {
                for (let room = true; room && sent.events < 20_000; sent.events += 1) {
                    room = response.write(`${dataEvent("x".repeat(10_000))}\n\n`);
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
