import { expect } from "chai";
import type { RequestListener } from "node:http";
import { answerWhole, chat, chunkOf, contentsOf, send, streamOf, wholeAnswer, withTestServer } from "./testserver.js";

describe("chat completions over HTTP", () => {
    it("passes a whole request and its answer through byte for byte", () =>
        withTestServer({}, async server => {
            const answer = await chat(server, { n: 2, seed: 1, unknown_field: [1] }, { "idempotency-key": "k1" });

            expect(answer.status).to.equal(200);
            expect(answer.outcome).to.equal("complete");
            expect(answer.text).to.equal(JSON.stringify(wholeAnswer));
            const [seen] = server.engines[0]!.seen;
            expect(JSON.parse(seen!.body)).to.deep.include({ n: 2, unknown_field: [1] });
            expect(seen!.headers).to.deep.include({
                "authorization": "Bearer credential",
                "x-attempt-id": `${answer.requestId}-1`,
                "x-group": "group-0",
                "x-fence": "7",
                "x-priority": "5",
                "idempotency-key": "k1",
            });
        }));

    it("passes a stream through with its end marker", () =>
        withTestServer({ engines: [streamOf(["a", "b"], "done")] }, async server => {
            const { text, status } = await chat(server, { stream: true });

            expect(status).to.equal(200);
            expect(text).to.equal(`data: ${chunkOf("a")}\n\ndata: ${chunkOf("b")}\n\ndata: [DONE]\n\n`);
        }));

    it("lists the models of the team, and tells health and readiness", () =>
        withTestServer({}, async server => {
            const models = JSON.parse((await send(server, "/v1/models")).text);
            expect(models.data.map(({ id }: { id: string; }) => id)).to.deep.equal(["notes"]);
            expect((await send(server, "/healthz")).status).to.equal(200);
            expect((await send(server, "/readyz")).status).to.equal(200);
        }));

    it("resumes a cut stream on the same group at the next event", () =>
        withTestServer({ engines: [streamOf(["a", "b"], "cut"), answerWhole] }, async server => {
            const original = streamOf(["a", "b"], "cut");
            server.engines.forEach(engine => {
                engine.handle = (request, response) =>
                    request.url!.startsWith("/attempts/")
                        ? streamOf(["c"], "done")(request, response)
                        : original(request, response);
            });

            const { text } = await chat(server, { stream: true });

            expect(contentsOf(text)).to.equal("abc");
            expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
            const urls = server.engines.flatMap(({ seen }) =>
                seen.map(({ url }) => url.replace(/daemon.*-1\//, "ID/"))
            );
            expect(server.engines.map(({ seen }) => seen.length).toSorted()).to.deep.equal([0, 2]);
            expect(urls).to.deep.equal(["/v1/chat/completions", "/attempts/ID/stream?from=2"]);
        }));

    it("ends a stream that cannot be completed with an error event and without the end marker", () =>
        withTestServer({ engines: [streamOf(["a"], "cut")] }, async server => {
            const engine = server.engines[0]!;
            const original = engine.handle;
            engine.handle = (request, response) =>
                request.url!.startsWith("/attempts/")
                    ? void response.writeHead(404).end("{}")
                    : original(request, response);

            const { text } = await chat(server, { stream: true });

            expect(contentsOf(text)).to.equal("a");
            expect(text).to.contain('"code":"stream_incomplete"');
            expect(text).not.to.contain("[DONE]");
        }));

    it("repeats a whole request whose connection went silent before the deadline is near", () =>
        withTestServer({ engines: [() => undefined] }, async server => {
            const engine = server.engines[0]!;
            engine.handle = (request, response) => {
                if (engine.seen.length > 1) {
                    answerWhole(request, response);
                }
            };
            const answer = await chat(server, {}, { "x-damaskvale-deadline-ms": "900" });

            expect(answer.text).to.equal(JSON.stringify(wholeAnswer));
            expect(engine.cancelled).to.deep.equal([`/attempts/${answer.requestId}-1`]);
        }));

    it("waits for a whole answer that takes longer than the first-token timeout while the engine works", () =>
        withTestServer({ engines: [(...all) => void setTimeout(() => answerWhole(...all), 400)] }, async server => {
            expect((await chat(server)).status).to.equal(200);
            expect(server.engines[0]!.seen).to.have.length(1);
        }));

    const failovers: { guards: string; first: RequestListener; }[] = [
        {
            guards: "a group refuses with 409 wrong_group",
            first: (...[, response]) => response.writeHead(409).end('{"error":{"code":"wrong_group"}}'),
        },
        {
            guards: "a group refuses with 503 not_started",
            first: (...[, response]) => response.writeHead(503).end('{"error":{"code":"not_started"}}'),
        },
        { guards: "the connection breaks", first: (...[, response]) => response.destroy() },
        { guards: "the engine fails", first: (...[, response]) => response.writeHead(500).end("{}") },
        {
            guards: "the answer is for another attempt",
            first: (...[, response]) =>
                response.writeHead(200, { "x-attempt-id": "other", "content-type": "application/json" }).end("{}"),
        },
    ];
    failovers.forEach(({ guards, first }) => {
        it(`answers from another group when ${guards}`, () =>
            withTestServer({ engines: [answerWhole, answerWhole] }, async server => {
                // The first engine asked fails, whichever it is.
                const state = { failed: false };
                server.engines.forEach(engine => {
                    engine.handle = (request, response) => {
                        const handle = state.failed ? answerWhole : first;
                        state.failed = true;
                        handle(request, response);
                    };
                });

                const answer = await chat(server);

                expect(answer.text).to.equal(JSON.stringify(wholeAnswer));
                expect(server.engines.map(({ seen }) => seen.length)).to.deep.equal([1, 1]);
                const attempts = server.engines.flatMap(({ seen }) =>
                    seen.map(({ headers }) => headers["x-attempt-id"])
                );
                expect(attempts.toSorted()).to.deep.equal([`${answer.requestId}-1`, `${answer.requestId}-2`]);
            }));
    });
});
