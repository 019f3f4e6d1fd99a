import { expect } from "chai";
import type { RequestListener } from "node:http";
import { chat, chunkOf, contentsOf, send, streamEvents, until, withTestServer } from "./testserver.js";

describe("shutdown", () => {
    it("becomes not ready, refuses new requests immediately, and lets requests in progress finish", () => {
        const finish: (() => void)[] = [];
        const engine: RequestListener = (...[, response]) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.write(`data: ${chunkOf("a")}\n\n`);
            finish.push(() => response.end(`data: ${chunkOf("b")}\n\ndata: [DONE]\n\n`));
        };
        return withTestServer({ engines: [engine] }, async server => {
            const running = chat(server, { stream: true });
            await until(() => finish.length === 1);
            server.front.beginDrain();

            expect((await send(server, "/readyz")).status).to.equal(503);
            expect((await send(server, "/healthz")).status).to.equal(200);
            const refused = await chat(server);
            expect(refused).to.deep.include({ status: 503, code: "shutting_down", outcome: "not-run" });
            expect(Number(refused.retryAfter)).to.be.greaterThan(0);

            const closed = server.front.close();
            finish.forEach(run => run());
            const { text } = await running;
            expect(contentsOf(text)).to.equal("ab");
            expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
            await closed;
        });
    });

    it("returns the ids of the requests that were cut off, and sends their final responses", () =>
        withTestServer({ engines: [streamEvents(["a"], "hang")], service: () => undefined }, async server => {
            const stream = chat(server, { stream: true });
            const call = send(server, "/services/fees/receipts", { method: "POST" });
            await until(() => server.engines[0]!.received.length === 1 && server.service.received.length === 1);
            const ids = server.front.cutOff();

            const answers = await Promise.all([stream, call]);
            expect(ids.toSorted()).to.deep.equal(answers.map(({ requestId }) => requestId).toSorted());
            expect(answers[1]).to.deep.include({ code: "shutting_down", outcome: "unknown" });
            expect(answers[0]!.text).not.to.contain("[DONE]");
            expect(server.claims.recorded.map(({ outcome }) => outcome)).to.deep.equal(["unknown"]);
        }));

    it("routes paths under /control/ to the registered handler only", () =>
        withTestServer({}, async server => {
            expect((await send(server, "/control/v1/status")).code).to.equal("route_not_found");
            server.front.registerControl((request, response) => void response.end(request.url));
            const answer = await send(server, "/control/v1/status", { headers: { authorization: "Bearer operator" } });
            expect(answer.text).to.equal("/control/v1/status");
            expect(answer.requestId).to.match(/^daemon-1/);
        }));
});
