import { expect } from "chai";
import { OTHER_KEY, TEAM_KEY } from "../../dispatch/tests/fakes.js";
import { chat, send, sendRaw, startTestServer, type TestServer } from "./testserver.js";

const authorization = `authorization: Bearer ${TEAM_KEY}\r\nhost: daemon\r\n`;
const message = { model: "notes", messages: [{ role: "user", content: "x" }] };
const post = (server: TestServer, body: string, headers: Record<string, string> = {}) =>
    send(server, "/v1/chat/completions", {
        method: "POST",
        body,
        headers: { "content-type": "application/json", ...headers },
    });

describe("front: refusals before dispatch", () => {
    let server: TestServer;
    before(async () => {
        server = await startTestServer({
            rows: [{ kind: "model", name: "letters", version: "1", members: 1, replicas: 1 }],
        });
    });
    after(() => server.close());

    const cases: { guards: string; status: number; code: string; run: () => ReturnType<typeof send>; }[] = [
        {
            guards: "an unknown key is accepted",
            status: 401,
            code: "invalid_api_key",
            run: () => chat(server, {}, { authorization: "Bearer unknown" }),
        },
        {
            guards: "a team uses a model that is not its own",
            status: 403,
            code: "model_not_allowed",
            run: () => chat(server, {}, { authorization: `Bearer ${OTHER_KEY}` }),
        },
        {
            guards: "a model outside the list of the team is dispatched",
            status: 403,
            code: "model_not_allowed",
            run: () => chat(server, { model: "letters" }),
        },
        {
            guards: "an unknown model is dispatched",
            status: 404,
            code: "model_not_found",
            run: () => chat(server, { model: "nothing" }),
        },
        {
            guards: "a team uses a service that is not its own",
            status: 403,
            code: "service_not_allowed",
            run: () => send(server, "/services/fees/x", { headers: { authorization: `Bearer ${OTHER_KEY}` } }),
        },
        {
            guards: "an unknown service is dispatched",
            status: 404,
            code: "service_not_found",
            run: () => send(server, "/services/none/x"),
        },
        {
            guards: "an oversized body is read",
            status: 413,
            code: "body_too_large",
            run: () => post(server, "x".repeat(3_000)),
        },
        {
            guards: "a refusal is lost because the caller still sends its body",
            status: 413,
            code: "body_too_large",
            run: () => post(server, "x".repeat(8_000_000)),
        },
        {
            guards: "malformed JSON is dispatched",
            status: 400,
            code: "malformed_body",
            run: () => post(server, '{"model": "notes",'),
        },
        { guards: "a list passes as a body", status: 400, code: "malformed_body", run: () => post(server, "[]") },
        {
            guards: "a body without messages is dispatched",
            status: 400,
            code: "malformed_body",
            run: () => chat(server, { messages: [] }),
        },
        {
            guards: "several choices are mixed in one stream",
            status: 400,
            code: "malformed_body",
            run: () => chat(server, { stream: true, n: 2 }),
        },
        {
            guards: "a wrong priority is taken for the default",
            status: 400,
            code: "invalid_header",
            run: () => chat(server, {}, { "x-damaskvale-priority": "10" }),
        },
        {
            guards: "a deadline below the minimum is taken",
            status: 400,
            code: "invalid_header",
            run: () => chat(server, {}, { "x-damaskvale-deadline-ms": "99" }),
        },
        {
            guards: "a compressed body is passed on unchecked",
            status: 400,
            code: "invalid_header",
            run: () => post(server, JSON.stringify(message), { "content-encoding": "gzip" }),
        },
        {
            guards: "another content type is read as JSON",
            status: 400,
            code: "invalid_header",
            run: () => post(server, JSON.stringify(message), { "content-type": "text/plain" }),
        },
        {
            guards: "an unknown path has no error body",
            status: 404,
            code: "route_not_found",
            run: () => send(server, "/x"),
        },
        {
            guards: "a wrong method is routed",
            status: 405,
            code: "method_not_allowed",
            run: () => send(server, "/v1/models", { method: "DELETE" }),
        },
        ...["/services/fees/%72eceipts", "/services/fees//receipts", "/services/fees/a%2f..", "/services/fees/x;y"].map(
            target => ({
                guards: `a service reads ${target} as another path than the table`,
                status: 404,
                code: "route_not_found",
                run: () => send(server, target, { method: "POST" }),
            }),
        ),
    ];
    cases.forEach(({ guards, status, code, run }) => {
        it(`does not fail like this: ${guards}`, async () => {
            const answer = await run();

            expect({ status: answer.status, code: answer.code, outcome: answer.outcome }).to.deep.equal({
                status,
                code,
                outcome: "not-run",
            });
            expect(answer.requestId).to.match(/^daemon-1-i1-/);
            expect(Object.keys(JSON.parse(answer.text).error)).to.deep.equal(["message", "type", "code", "param"]);
            expect(server.engines[0]!.seen).to.have.length(0);
            expect(server.service.seen).to.have.length(0);
        });
    });

    const body = JSON.stringify(message);
    const start = "POST /v1/chat/completions HTTP/1.1\r\n";
    const raw: { guards: string; code: string; text: string; }[] = [
        {
            guards: "content-length and transfer-encoding conflict",
            code: "invalid_header",
            text:
                `${start}${authorization}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n`,
        },
        {
            guards: "content-length is given twice",
            code: "invalid_header",
            text: `${start}${authorization}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
        },
        {
            guards: "a bare CR ends a header",
            code: "invalid_header",
            text: `${start}${authorization}x-a: b\rcontent-length: 4\r\n\r\n`,
        },
        {
            guards: "a transfer coding is not known",
            code: "invalid_header",
            text: `${start}${authorization}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
        },
        {
            guards: "the key is given twice",
            code: "invalid_header",
            text: `${start}${authorization}authorization: Bearer other\r\ncontent-length: 0\r\n\r\n`,
        },
        {
            guards: "a chunk size is malformed",
            code: "invalid_header",
            text: `${start}${authorization}transfer-encoding: chunked\r\n\r\nxyz\r\n${body}\r\n`,
        },
        { guards: "the first line is not HTTP", code: "invalid_header", text: "hello\r\n\r\n" },
        { guards: "the headers never end", code: "request_timeout", text: `${start}${authorization}x-slow: ` },
        {
            guards: "the body never ends",
            code: "request_timeout",
            text: `${start}${authorization}content-type: application/json\r\ncontent-length: 100\r\n\r\n{`,
        },
        {
            guards: "the headers are endless",
            code: "invalid_header",
            text: `${start}${authorization}x-long: ${"a".repeat(20_000)}\r\n\r\n`,
        },
        {
            guards: "a tunnel is asked for",
            code: "method_not_allowed",
            text: `CONNECT a:1 HTTP/1.1\r\n${authorization}\r\n`,
        },
    ];
    raw.forEach(({ guards, code, text }) => {
        it(`refuses and closes when ${guards}`, async () => {
            const answer = await sendRaw(server, text);

            expect(answer.match(/HTTP\/1\.1 \d+/g)).to.have.length(1);
            expect(answer).to.contain(`"code":"${code}"`);
            expect(answer).to.match(/x-damaskvale-request-id: daemon-1-i1-/i);
            expect(answer).to.match(/x-damaskvale-outcome: not-run/i);
            expect(server.engines[0]!.seen).to.have.length(0);
        });
    });
});
