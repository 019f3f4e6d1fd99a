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

describe("front end: refusals before dispatch", () => {
    let server: TestServer;
    before(async () => {
        server = await startTestServer({
            rows: [{ kind: "model", name: "letters", version: "1", members: 1, replicas: 1 }],
        });
    });
    after(() => server.close());

    const cases: { title: string; status: number; code: string; run: () => ReturnType<typeof send>; }[] = [
        {
            title: "an unknown API key",
            status: 401,
            code: "invalid_api_key",
            run: () => chat(server, {}, { authorization: "Bearer unknown" }),
        },
        {
            title: "a model that the team may not use",
            status: 403,
            code: "model_not_allowed",
            run: () => chat(server, {}, { authorization: `Bearer ${OTHER_KEY}` }),
        },
        {
            title: "a model outside the model list of the team",
            status: 403,
            code: "model_not_allowed",
            run: () => chat(server, { model: "letters" }),
        },
        {
            title: "an unknown model",
            status: 404,
            code: "model_not_found",
            run: () => chat(server, { model: "nothing" }),
        },
        {
            title: "a service that the team may not use",
            status: 403,
            code: "service_not_allowed",
            run: () => send(server, "/services/fees/x", { headers: { authorization: `Bearer ${OTHER_KEY}` } }),
        },
        {
            title: "an unknown service",
            status: 404,
            code: "service_not_found",
            run: () => send(server, "/services/none/x"),
        },
        {
            title: "a body that is too large",
            status: 413,
            code: "body_too_large",
            run: () => post(server, "x".repeat(3_000)),
        },
        {
            title: "a large body that the caller is still sending",
            status: 413,
            code: "body_too_large",
            run: () => post(server, "x".repeat(8_000_000)),
        },
        {
            title: "malformed JSON",
            status: 400,
            code: "malformed_body",
            run: () => post(server, '{"model": "notes",'),
        },
        { title: "an array as the body", status: 400, code: "malformed_body", run: () => post(server, "[]") },
        {
            title: "a body without messages",
            status: 400,
            code: "malformed_body",
            run: () => chat(server, { messages: [] }),
        },
        {
            title: "a stream with several choices",
            status: 400,
            code: "malformed_body",
            run: () => chat(server, { stream: true, n: 2 }),
        },
        {
            title: "a priority out of range",
            status: 400,
            code: "invalid_header",
            run: () => chat(server, {}, { "x-damaskvale-priority": "10" }),
        },
        {
            title: "a deadline below the minimum",
            status: 400,
            code: "invalid_header",
            run: () => chat(server, {}, { "x-damaskvale-deadline-ms": "99" }),
        },
        {
            title: "a compressed body",
            status: 400,
            code: "invalid_header",
            run: () => post(server, JSON.stringify(message), { "content-encoding": "gzip" }),
        },
        {
            title: "a content type other than JSON",
            status: 400,
            code: "invalid_header",
            run: () => post(server, JSON.stringify(message), { "content-type": "text/plain" }),
        },
        {
            title: "an unknown path",
            status: 404,
            code: "route_not_found",
            run: () => send(server, "/x"),
        },
        {
            title: "an unsupported method",
            status: 405,
            code: "method_not_allowed",
            run: () => send(server, "/v1/models", { method: "DELETE" }),
        },
        ...["/services/fees/%72eceipts", "/services/fees//receipts", "/services/fees/a%2f..", "/services/fees/x;y"].map(
            target => ({
                title: `the ambiguous service path ${target}`,
                status: 404,
                code: "route_not_found",
                run: () => send(server, target, { method: "POST" }),
            }),
        ),
    ];
    cases.forEach(({ title, status, code, run }) => {
        it(`refuses ${title}`, async () => {
            const answer = await run();

            expect({ status: answer.status, code: answer.code, outcome: answer.outcome }).to.deep.equal({
                status,
                code,
                outcome: "not-run",
            });
            expect(answer.requestId).to.match(/^daemon-1-i1-/);
            expect(Object.keys(JSON.parse(answer.text).error)).to.deep.equal(["message", "type", "code", "param"]);
            expect(server.engines[0]!.received).to.have.length(0);
            expect(server.service.received).to.have.length(0);
        });
    });

    const body = JSON.stringify(message);
    const start = "POST /v1/chat/completions HTTP/1.1\r\n";
    const raw: { title: string; code: string; text: string; }[] = [
        {
            title: "content-length and transfer-encoding are both present",
            code: "invalid_header",
            text:
                `${start}${authorization}content-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n`,
        },
        {
            title: "content-length is repeated",
            code: "invalid_header",
            text: `${start}${authorization}content-length: 4\r\ncontent-length: 5\r\n\r\nabcde`,
        },
        {
            title: "a bare CR ends a header",
            code: "invalid_header",
            text: `${start}${authorization}x-a: b\rcontent-length: 4\r\n\r\n`,
        },
        {
            title: "the transfer coding is unknown",
            code: "invalid_header",
            text: `${start}${authorization}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
        },
        {
            title: "the authorization header is repeated",
            code: "invalid_header",
            text: `${start}${authorization}authorization: Bearer other\r\ncontent-length: 0\r\n\r\n`,
        },
        {
            title: "a chunk size is malformed",
            code: "invalid_header",
            text: `${start}${authorization}transfer-encoding: chunked\r\n\r\nxyz\r\n${body}\r\n`,
        },
        { title: "the first line is not HTTP", code: "invalid_header", text: "hello\r\n\r\n" },
        { title: "the headers never end", code: "request_timeout", text: `${start}${authorization}x-slow: ` },
        {
            title: "the body never ends",
            code: "request_timeout",
            text: `${start}${authorization}content-type: application/json\r\ncontent-length: 100\r\n\r\n{`,
        },
        {
            title: "the headers are too long",
            code: "invalid_header",
            text: `${start}${authorization}x-long: ${"a".repeat(20_000)}\r\n\r\n`,
        },
        {
            title: "the method is CONNECT",
            code: "method_not_allowed",
            text: `CONNECT a:1 HTTP/1.1\r\n${authorization}\r\n`,
        },
    ];
    raw.forEach(({ title, code, text }) => {
        it(`refuses the request and closes the connection when ${title}`, async () => {
            const answer = await sendRaw(server, text);

            expect(answer.match(/HTTP\/1\.1 \d+/g)).to.have.length(1);
            expect(answer).to.contain(`"code":"${code}"`);
            expect(answer).to.match(/x-damaskvale-request-id: daemon-1-i1-/i);
            expect(answer).to.match(/x-damaskvale-outcome: not-run/i);
            expect(server.engines[0]!.received).to.have.length(0);
        });
    });
});
