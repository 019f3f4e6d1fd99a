/**
 * A faulty server sends a status that no answer has: the caller of a service got a 600 or 999 as an answer. The product's own
 * clients take such a response as a broken exchange, whose request may have run.
 */
import { expect } from "chai";
import { type AddressInfo, createServer, type Server } from "node:net";
import type { ForwardEvent, ForwardRequest } from "../../dispatch/forwarder.js";
import type { EngineEvent } from "../../ports/engine.js";
import { createEngineClient } from "../engineclient.js";
import { createForwarder } from "../forwardclient.js";
import { createTargetPools } from "../pools.js";
import { createServiceClient } from "../serviceclient.js";

const BODY = "{}";
const TIMEOUT_MILLISECONDS = 400;
const invalid = ["000", "099", "20", "2000", "-12", "600", "601", "999"];

describe("answer with an invalid status to a client of targets", () => {
    const pools = createTargetPools();
    const reports = { onForeignData: () => undefined, onSilence: () => undefined };
    const options = { pools, credential: "credential", ...reports, probeTimeoutMilliseconds: 100 };
    const timeouts = {
        firstTokenTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
        tokenTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    };
    const engines = createEngineClient({ ...options, ...timeouts });
    const services = createServiceClient(options);
    const forwarder = createForwarder({ pools, daemon: "here", peerSecret: "secret" });
    const servers: Server[] = [];

    const start = (status: string): Promise<string> => {
        const server = createServer(socket => {
            socket.on("error", () => undefined);
            const head = `HTTP/1.1 ${status} X\r\nContent-Length: ${BODY.length}\r\n`;
            socket.once("data", () => socket.end(`${head}X-Damaskvale-Outcome: complete\r\n\r\n${BODY}`));
        });
        servers.push(server);
        return new Promise(resolve => {
            server.listen(0, "127.0.0.1", () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`));
        });
    };
    const callService = async (url: string): Promise<string> => {
        const answer = await services.call({
            url,
            attemptId: "r-1",
            method: "POST",
            path: "/",
            headers: {},
            body: Buffer.from("x"),
            timeoutMilliseconds: TIMEOUT_MILLISECONDS,
            signal: new AbortController().signal,
        });
        return answer.err ? answer.val.kind : `answered ${answer.val.status}`;
    };
    const complete = async (url: string): Promise<string> => {
        const events: EngineEvent[] = [];
        const request = { url, attemptId: "r-1", group: "g", fence: 1, priority: 5, body: { messages: [] } };
        const signal = new AbortController().signal;
        for await (const event of engines.complete({ ...request, stream: false, signal })) {
            events.push(event);
        }
        const last = events.at(-1);
        return last?.kind === "failure" ? last.failure.kind : `answered ${last?.kind}`;
    };
    const forward = async (url: string): Promise<string> => {
        const events: ForwardEvent[] = [];
        const request = {
            address: url,
            attemptId: "r-1",
            request: { rawBody: Buffer.from("{}"), team: { name: "red" }, priority: 5 },
            remainingMilliseconds: TIMEOUT_MILLISECONDS,
            signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
        } as unknown as ForwardRequest;
        for await (const event of forwarder.forward(request)) {
            events.push(event);
        }
        const last = events.at(-1);
        return last?.kind === "failure" ? last.failure.kind : `answered ${last?.kind}`;
    };

    after(async () => {
        await pools.close();
        servers.forEach(server => server.close());
    });

    const calls = { "of a service": callService, "of an engine": complete, "of another daemon": forward };
    Object.entries(calls).forEach(([name, call]) =>
        it(`breaks the exchange: ${name}`, async () => {
            const seen = await Promise.all(invalid.map(async status => [status, await call(await start(status))]));
            // A status below 200 announces a response, which does not come.
            seen.forEach(([status, outcome]) =>
                expect(outcome, String(status)).to.be.oneOf(["broken", "silent", "cancelled"])
            );
            const above = seen.filter(([status]) => Number(status) >= 600 && status?.length === 3);
            expect(above.map(([, outcome]) => outcome)).to.deep.equal(above.map(() => "broken"));
        })
    );

    it("shows no sound target to a probe", async () => {
        const probe = { method: "GET", path: "/", headers: {}, timeoutMilliseconds: TIMEOUT_MILLISECONDS } as const;
        const seen = await Promise.all(
            [...invalid, "599"].map(async status => pools.probe(await start(status), probe)),
        );
        expect(seen).to.deep.equal([...invalid.map(() => false), true]);
    });
});
