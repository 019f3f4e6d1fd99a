import { expect } from "chai";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createForwarder } from "../../adapters/forwardclient.js";
import { createTargetPools } from "../../adapters/pools.js";
import {
    chat,
    completion,
    contentsOf,
    respondComplete,
    startTestServer,
    streamEvents,
    type TestServer,
    until,
} from "./testserver.js";

describe("forwarding to another data centre", () => {
    const pools = createTargetPools();
    const forwarder = createForwarder({ pools, daemon: "daemon-here", peerSecret: "secret-of-daemons" });
    let here: TestServer;
    let there: TestServer;
    let server: Server;

    const start = async (engine: RequestListener): Promise<void> => {
        there = await startTestServer({ engines: [engine] });
        server = createServer(there.front.handleForwarded);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        here = await startTestServer({ engines: [], dispatcher: { forwarder } });
        const address = `ws://127.0.0.1:${(server.address() as AddressInfo).port}`;
        here.groups.otherDataCentres = [{ dataCentre: "jhb-annex", daemon: "daemon-there", address }];
    };
    afterEach(async () => {
        server.close();
        server.closeAllConnections();
        await Promise.all([here.close(), there.close()]);
    });
    after(() => pools.close());

    it("forwards a complete response and a stream, under the request id of the first daemon", async () => {
        await start((request, response) =>
            there.engines[0]!.received.length === 1
                ? respondComplete(request, response)
                : streamEvents(["a", "b"], "done")(request, response)
        );
        const whole = await chat(here, {}, { "x-damaskvale-priority": "8" });
        const stream = await chat(here, { stream: true });

        expect(whole).to.deep.include({ status: 200, text: JSON.stringify(completion), outcome: "complete" });
        expect(contentsOf(stream.text)).to.equal("ab");
        expect(stream.text.endsWith("data: [DONE]\n\n")).to.equal(true);
        expect(there.engines[0]!.received[0]!.headers["x-priority"]).to.equal("8");
        expect(here.dispatcher.explain(whole.requestId!)!.attempts[0]!.target).to.equal("daemon daemon-there");
    });

    it("returns a refusal of the other daemon with its outcome, and does not forward twice", async () => {
        await start(respondComplete);
        there.groups.list = [];
        there.groups.otherDataCentres = here.groups.otherDataCentres;

        const answer = await chat(here);

        expect(answer).to.deep.include({ status: 503, code: "no_ready_group", outcome: "not-run" });
        expect(Number(answer.retryAfter)).to.be.greaterThan(0);
        expect(there.counts).not.to.have.property("requests.forwarded");
    });

    it("does not retry work that may have run at the other daemon", async () => {
        await start((...[, response]) => void response.destroy());
        const answer = await chat(here);

        expect(answer).to.deep.include({ code: "target_failed", outcome: "unknown" });
        expect(there.engines[0]!.received).to.have.length(1);
    });

    it("cancels the attempt at the engine of the other data centre when the caller disconnects", async () => {
        await start(streamEvents(["a"], "hang"));
        const caller = new AbortController();
        const body = JSON.stringify({ model: "notes", messages: [{ role: "user" }], stream: true });
        const headers = { "authorization": "Bearer key-of-legal-team", "content-type": "application/json" };
        const init = { method: "POST", headers, body, signal: caller.signal };
        const response = await fetch(`${here.url}/v1/chat/completions`, init);
        await response.body!.getReader().read();
        caller.abort();

        await until(() => there.engines[0]!.cancelled.length === 1);
    });

    it("refuses forwarded requests without the peer secret", async () => {
        await start(respondComplete);
        const { port } = server.address() as AddressInfo;
        const answer = await fetch(`http://127.0.0.1:${port}/v1/chat/completions`, {
            method: "POST",
            headers: { "x-damaskvale-forwarded": "daemon-9", "x-damaskvale-team": "legal" },
        });

        expect(answer.status).to.equal(401);
        expect(answer.headers.get("x-damaskvale-outcome")).to.equal("not-run");
    });
});
