import { expect } from "chai";
import type { RequestListener } from "node:http";
import {
    chat,
    chunkOf,
    completion,
    contentsOf,
    respondComplete,
    send,
    streamEvents,
    withTestServer,
} from "./testserver.js";

describe("chat completions over HTTP", () => {
    it("forwards a request and its response byte for byte", () =>
        withTestServer({}, async server => {
            const answer = await chat(server, { n: 2, seed: 1, unknown_field: [1] }, { "idempotency-key": "k1" });

            expect(answer.status).to.equal(200);
            expect(answer.outcome).to.equal("complete");
            expect(answer.text).to.equal(JSON.stringify(completion));
            const [received] = server.engines[0]!.received;
            expect(JSON.parse(received!.body)).to.deep.include({ n: 2, unknown_field: [1] });
            expect(received!.headers).to.deep.include({
                "authorization": "Bearer credential",
                "x-attempt-id": `${answer.requestId}-1`,
                "x-group": "group-0",
                "x-fence": "7",
                "x-priority": "5",
                "idempotency-key": "k1",
            });
        }));

    it("forwards a stream with its end marker", () =>
        withTestServer({ engines: [streamEvents(["a", "b"], "done")] }, async server => {
            const { text, status } = await chat(server, { stream: true });

            expect(status).to.equal(200);
            expect(text).to.equal(`data: ${chunkOf("a")}\n\ndata: ${chunkOf("b")}\n\ndata: [DONE]\n\n`);
        }));

    it("lists the models of the team, and reports health and readiness", () =>
        withTestServer({}, async server => {
            const models = JSON.parse((await send(server, "/v1/models")).text);
            expect(models.data.map(({ id }: { id: string; }) => id)).to.deep.equal(["notes"]);
            expect((await send(server, "/healthz")).status).to.equal(200);
            expect((await send(server, "/readyz")).status).to.equal(200);
        }));

    it("resumes a broken stream on the same group at the next event", () =>
        withTestServer({ engines: [streamEvents(["a", "b"], "cut"), respondComplete] }, async server => {
            const original = streamEvents(["a", "b"], "cut");
            server.engines.forEach(engine => {
                engine.handle = (request, response) =>
                    request.url!.startsWith("/attempts/")
                        ? streamEvents(["c"], "done")(request, response)
                        : original(request, response);
            });

            const { text } = await chat(server, { stream: true });

            expect(contentsOf(text)).to.equal("abc");
            expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
            const urls = server.engines.flatMap(({ received }) =>
                received.map(({ url }) => url.replace(/daemon.*-1\//, "ID/"))
            );
            expect(server.engines.map(({ received }) => received.length).toSorted()).to.deep.equal([0, 2]);
            expect(urls).to.deep.equal(["/v1/chat/completions", "/attempts/ID/stream?from=2"]);
        }));

    it("ends a stream that cannot be completed with an error event and without the end marker", () =>
        withTestServer({ engines: [streamEvents(["a"], "cut")] }, async server => {
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

    it("retries a request without a stream after a silent connection, before its deadline", () =>
        withTestServer({ engines: [() => undefined] }, async server => {
            const engine = server.engines[0]!;
            engine.handle = (request, response) => {
                if (engine.received.length > 1) {
                    respondComplete(request, response);
                }
            };
            const answer = await chat(server, {}, { "x-damaskvale-deadline-ms": "900" });

            expect(answer.text).to.equal(JSON.stringify(completion));
            expect(engine.cancelled).to.deep.equal([`/attempts/${answer.requestId}-1`]);
        }));

    it("waits longer than the first-token timeout for a response without a stream while the engine is working", () =>
        withTestServer({ engines: [(...all) => void setTimeout(() => respondComplete(...all), 400)] }, async server => {
            expect((await chat(server)).status).to.equal(200);
            expect(server.engines[0]!.received).to.have.length(1);
        }));

    const failovers: { condition: string; first: RequestListener; }[] = [
        {
            condition: "a group refuses with 409 wrong_group",
            first: (...[, response]) => response.writeHead(409).end('{"error":{"code":"wrong_group"}}'),
        },
        {
            condition: "a group refuses with 503 not_started",
            first: (...[, response]) => response.writeHead(503).end('{"error":{"code":"not_started"}}'),
        },
        { condition: "the connection breaks", first: (...[, response]) => response.destroy() },
        { condition: "the engine returns an error", first: (...[, response]) => response.writeHead(500).end("{}") },
        {
            condition: "the response belongs to another attempt",
            first: (...[, response]) =>
                response.writeHead(200, { "x-attempt-id": "other", "content-type": "application/json" }).end("{}"),
        },
    ];
    failovers.forEach(({ condition, first }) => {
        it(`retries on another group when ${condition}`, () =>
            withTestServer({ engines: [respondComplete, respondComplete] }, async server => {
                // The engine that gets the first attempt fails.
                const state = { failed: false };
                server.engines.forEach(engine => {
                    engine.handle = (request, response) => {
                        const handle = state.failed ? respondComplete : first;
                        state.failed = true;
                        handle(request, response);
                    };
                });

                const answer = await chat(server);

                expect(answer.text).to.equal(JSON.stringify(completion));
                expect(server.engines.map(({ received }) => received.length)).to.deep.equal([1, 1]);
                const attempts = server.engines.flatMap(({ received }) =>
                    received.map(({ headers }) => headers["x-attempt-id"])
                );
                expect(attempts.toSorted()).to.deep.equal([`${answer.requestId}-1`, `${answer.requestId}-2`]);
            }));
    });
});
