import { expect } from "chai";
import { send, type TestServer, type TestServerOptions, until, withTestServer } from "./testserver.js";

const record = (server: TestServer, key?: string, body = "{}", headers: Record<string, string> = {}) =>
    send(server, "/services/fees/receipts?a=%20b", {
        method: "POST",
        body,
        headers: { ...(key === undefined ? {} : { "idempotency-key": key }), ...headers },
    });

describe("services over HTTP", () => {
    it("forwards a request and its response", () =>
        withTestServer({
            service: (...[, response]) =>
                response.writeHead(201, { "set-cookie": ["a=1, b", "c=2"], "x-place": "p" }).end("made"),
        }, async server => {
            const answer = await record(server, "k", '{"fee":1}', { "x-custom": "1", "x-http-method-override": "PUT" });

            expect(answer).to.deep.include({ status: 201, text: "made", outcome: "complete" });
            const [received] = server.service.received;
            expect(received).to.deep.include({ method: "POST", url: "/receipts?a=%20b", body: '{"fee":1}' });
            expect(received!.headers).to.deep.include({ "idempotency-key": "k", "x-custom": "1" });
            expect(received!.headers["authorization"]).to.equal("Bearer credential");
            expect(received!.headers).not.to.have.any.keys("x-http-method-override", "x-damaskvale-priority");
            expect(server.claims.recorded).to.deep.equal([{ claim: "claim-1", outcome: "complete", status: 201 }]);
        }));

    it("runs a key once, replays the recorded response to a repeated request, and refuses another body", () =>
        withTestServer({ service: (...[, response]) => response.end("receipt 1") }, async server => {
            const first = await record(server, "k");
            const second = await record(server, "k");
            const other = await record(server, "k", '{"fee":2}');

            expect([first.text, second.text]).to.deep.equal(["receipt 1", "receipt 1"]);
            expect(other).to.deep.include({ status: 422, code: "key_reused", outcome: "not-run" });
            expect(server.service.received).to.have.length(1);
        }));

    it("runs each request without a key, because they are different requests", () =>
        withTestServer({}, async server => {
            await Promise.all([record(server), record(server)]);
            expect(server.service.received).to.have.length(2);
        }));

    it("refuses a duplicate of a request in progress with an unknown outcome", () =>
        withTestServer(
            { service: (...[, response]) => void setTimeout(() => response.end("done"), 100) },
            async server => {
                const first = record(server, "k");
                await until(() => server.service.received.length === 1);
                const second = await record(server, "k");

                expect(second).to.deep.include({ status: 409, code: "request_in_progress", outcome: "unknown" });
                expect(Number(second.retryAfter)).to.be.greaterThan(0);
                expect((await first).text).to.equal("done");
            },
        ));

    const failures: {
        title: string;
        service: NonNullable<TestServerOptions["service"]>;
        target?: string;
        expected: { status: number; code?: string; outcome: string; };
        runs: number;
        recorded: string[];
    }[] = [
        {
            title: "reports an unknown outcome without a retry if the connection breaks after the request was written",
            service: (...[, response]) => response.destroy(),
            expected: { status: 502, code: "target_failed", outcome: "unknown" },
            runs: 1,
            recorded: ["unknown"],
        },
        {
            title: "reports an unknown outcome without a retry if the service never responds",
            service: () => undefined,
            expected: { status: 502, code: "target_failed", outcome: "unknown" },
            runs: 1,
            recorded: ["unknown"],
        },
        {
            title: "does not return a response that belongs to another attempt",
            service: (...[, response]) => response.writeHead(200, { "x-attempt-id": "other" }).end("not yours"),
            expected: { status: 502, code: "target_failed", outcome: "unknown" },
            runs: 1,
            recorded: ["unknown"],
        },
        {
            title: "releases the claim if the service refuses the request before starting it",
            service: (...[, response]) => response.writeHead(503).end('{"error":{"code":"not_started"}}'),
            expected: { status: 503, code: "no_ready_group", outcome: "not-run" },
            runs: 1,
            recorded: [],
        },
        {
            title: "returns an error response of the service unchanged",
            service: (...[, response]) => response.writeHead(500).end("broken"),
            expected: { status: 500, outcome: "complete" },
            runs: 1,
            recorded: ["complete"],
        },
    ];
    failures.forEach(({ title, service, expected, runs, recorded }) => {
        it(`failed call: ${title}`, () =>
            withTestServer({ service }, async server => {
                const answer = await record(server, "k");

                expect(answer).to.deep.include(expected);
                expect(server.service.received).to.have.length(runs);
                expect(server.claims.recorded.map(({ outcome }) => outcome)).to.deep.equal(recorded);
                expect(server.claims.released).to.have.length(recorded.length === 0 ? 1 : 0);
            }));
    });

    it("reports an unknown outcome if the service closes a pooled connection after the request was written", () =>
        withTestServer({}, async server => {
            const state = { answered: 0 };
            server.service.handle = (request, response) => {
                state.answered += 1;
                if (state.answered === 1) {
                    response.end("first");
                }
                else {
                    request.socket.resetAndDestroy();
                }
            };
            await record(server, "k1");
            const answer = await record(server, "k2");

            expect(answer).to.deep.include({ code: "target_failed", outcome: "unknown" });
            expect(server.service.received).to.have.length(2);
        }));

    it("retries a repeatable call after a broken connection", () =>
        withTestServer({}, async server => {
            server.service.handle = (...[, response]) =>
                server.service.received.length === 1 ? void response.destroy() : void response.end("found");
            const answer = await send(server, "/services/fees/search", { method: "POST", body: "{}" });

            expect(answer).to.deep.include({ status: 200, text: "found" });
            expect(server.service.received).to.have.length(2);
        }));

    it("reports not-run when the service is unreachable, and also Retry-After when no claim is possible", () =>
        withTestServer({}, async server => {
            server.claims.unavailable = true;
            expect(await record(server)).to.deep.include({
                code: "claims_unavailable",
                outcome: "not-run",
                retryAfter: "3",
            });
            server.claims.unavailable = false;
            server.service.close();
            expect(await record(server)).to.deep.include({ code: "target_failed", outcome: "not-run" });
            expect(server.claims.released).to.have.length(1);
        }));

    it("does not cancel a non-repeatable call when its caller disconnects, and records the outcome", () =>
        withTestServer(
            { service: (...[, response]) => void setTimeout(() => response.end("done"), 60) },
            async server => {
                const caller = new AbortController();
                const request = send(server, "/services/fees/receipts", { method: "POST", signal: caller.signal });
                await until(() => server.service.received.length === 1);
                caller.abort();
                await request.catch(() => undefined);
                await until(() => server.claims.recorded.length === 1);

                expect(server.claims.recorded[0]).to.deep.include({ outcome: "complete", status: 200 });
                await until(() => server.dispatcher.inProgress() === 0);
                expect(server.counts).not.to.have.property("requestFailed");
            },
        ));

    it("returns an unknown outcome at the deadline, and still records the late response", () =>
        withTestServer(
            { service: (...[, response]) => void setTimeout(() => response.end("late"), 250) },
            async server => {
                const answer = await record(server, "k", "{}", { "x-damaskvale-deadline-ms": "100" });
                expect(answer).to.deep.include({ code: "deadline_exceeded", outcome: "unknown" });

                await until(() => server.claims.recorded.length === 1);
                expect((await record(server, "k")).text).to.equal("late");
            },
        ));
});
