import { expect } from "chai";
import type { RequestListener } from "node:http";
import { chat, chunkOf, contentsOf, send, streamOf, until, withPath } from "./path.js";

describe("shutdown", () => {
    it("becomes not ready, refuses new requests at once, and lets those in progress finish", () => {
        const finish: (() => void)[] = [];
        const engine: RequestListener = (...[, response]) => {
            response.writeHead(200, { "content-type": "text/event-stream" });
            response.write(`data: ${chunkOf("a")}\n\n`);
            finish.push(() => response.end(`data: ${chunkOf("b")}\n\ndata: [DONE]\n\n`));
        };
        return withPath({ engines: [engine] }, async path => {
            const running = chat(path, { stream: true });
            await until(() => finish.length === 1);
            path.front.beginDrain();

            expect((await send(path, "/readyz")).status).to.equal(503);
            expect((await send(path, "/healthz")).status).to.equal(200);
            const refused = await chat(path);
            expect(refused).to.deep.include({ status: 503, code: "shutting_down", outcome: "not-run" });
            expect(Number(refused.retryAfter)).to.be.greaterThan(0);

            const closed = path.front.close();
            finish.forEach(run => run());
            const { text } = await running;
            expect(contentsOf(text)).to.equal("ab");
            expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
            await closed;
        });
    });

    it("tells which requests were cut off, and gives them their final answers", () =>
        withPath({ engines: [streamOf(["a"], "hang")], service: () => undefined }, async path => {
            const stream = chat(path, { stream: true });
            const call = send(path, "/services/fees/receipts", { method: "POST" });
            await until(() => path.engines[0]!.seen.length === 1 && path.service.seen.length === 1);
            const ids = path.front.cutOff();

            const answers = await Promise.all([stream, call]);
            expect(ids.toSorted()).to.deep.equal(answers.map(({ requestId }) => requestId).toSorted());
            expect(answers[1]).to.deep.include({ code: "shutting_down", outcome: "unknown" });
            expect(answers[0]!.text).not.to.contain("[DONE]");
            expect(path.claims.recorded.map(({ outcome }) => outcome)).to.deep.equal(["unknown"]);
        }));

    it("hands paths under /control/ to the registered handler only", () =>
        withPath({}, async path => {
            expect((await send(path, "/control/v1/status")).code).to.equal("route_not_found");
            path.front.registerControl((request, response) => void response.end(request.url));
            const answer = await send(path, "/control/v1/status", { headers: { authorization: "Bearer operator" } });
            expect(answer.text).to.equal("/control/v1/status");
            expect(answer.requestId).to.match(/^daemon-1/);
        }));
});
