import { expect } from "chai";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createHostList } from "../hostlist.js";
import { createPlatformLog } from "../platformlog.js";

async function listen(handler: RequestListener): Promise<{ server: Server; url: string; }> {
    const server = createServer(handler);
    open.push(() => {
        server.closeAllConnections();
        return new Promise(resolve => server.close(resolve));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { server, url: `http://127.0.0.1:${(server.address() as AddressInfo).port}` };
}

const open: (() => Promise<unknown>)[] = [];

/** Closes what a test opened, even after a failure, because an open server would keep the test process alive. */
afterEach(async () => {
    await Promise.all(open.splice(0).map(close => close()));
});

function opened<Adapter extends { close(): Promise<void>; }>(adapter: Adapter): Adapter {
    open.push(() => adapter.close());
    return adapter;
}

describe("platform log adapter", () => {
    const json = (response: ServerResponse, status: number, body: unknown, headers = {}) =>
        response.writeHead(status, headers).end(JSON.stringify(body));
    const cases: { guards: string; answer: (response: ServerResponse) => void; expected: object; }[] = [
        {
            guards: "an offset is lost",
            answer: response => json(response, 200, { offset: 7 }),
            expected: { ok: true, val: 7 },
        },
        {
            guards: "429 looks ambiguous or loses its retry-after time",
            answer: response => json(response, 429, {}, { "retry-after": "2" }),
            expected: { kind: "refused", retryAfterMilliseconds: 2000 },
        },
        {
            guards: "an outage looks ambiguous",
            answer: response => json(response, 503, {}),
            expected: { kind: "refused" },
        },
        {
            guards: "an error after the append looks refused",
            answer: response => json(response, 500, {}),
            expected: { kind: "ambiguous" },
        },
        {
            guards: "a gateway timeout looks refused",
            answer: response => json(response, 504, {}),
            expected: { kind: "ambiguous" },
        },
        {
            guards: "an unreadable answer looks refused",
            answer: response => response.writeHead(200).end("{"),
            expected: { kind: "ambiguous" },
        },
        {
            guards: "a lost answer looks refused",
            answer: response => response.socket?.destroy(),
            expected: { kind: "ambiguous" },
        },
        {
            guards: "half an answer looks refused",
            answer: response =>
                response.writeHead(200, { "content-length": 99 }).write("{", () => response.socket?.destroy()),
            expected: { kind: "ambiguous" },
        },
        {
            guards: "a silent connection blocks forever or looks refused",
            answer: () => undefined,
            expected: { kind: "ambiguous" },
        },
    ];

    cases.forEach(({ guards, answer, expected }) => {
        it(`guards against this failure: ${guards}`, async () => {
            const { url } = await listen((incoming, response) => {
                incoming.resume().on("end", () => answer(response));
            });
            const log = opened(createPlatformLog({ url, answerTimeoutMilliseconds: 100 }));
            const result = await log.append("s", {});
            expect(result.ok ? { ok: true, val: result.val } : result.val).to.include(expected);
        });
    });

    const failures: {
        guards: string;
        kind: string;
        break: (target: { server: Server; }) => Promise<void> | void;
    }[] = [
        {
            guards: "a closed port looks ambiguous",
            kind: "refused",
            break: ({ server }) => {
                server.closeAllConnections();
                return new Promise(resolve => server.close(() => resolve()));
            },
        },
        {
            guards: "a pooled connection that closes looks refused",
            kind: "ambiguous",
            break: ({ server }) => {
                server.removeAllListeners("request").on("request", ({ socket }) => socket.resetAndDestroy());
            },
        },
    ];

    failures.forEach(({ guards, kind, break: breakServer }) => {
        it(`guards against this failure: ${guards}`, async () => {
            const { server, url } = await listen((...[, response]) => json(response, 200, { offset: 1 }));
            const log = opened(createPlatformLog({ url }));
            await log.append("s", {});
            await breakServer({ server });
            await new Promise(resolve => setTimeout(resolve, 20));
            expect((await log.append("s", {})).val).to.have.property("kind", kind);
        });
    });

    it("reads a page, and stops a read that the caller aborts", async () => {
        const page = { firstOffset: 1, nextOffset: 3, entries: [{ offset: 1, time: 5, value: { a: 1 } }] };
        const paths: (string | undefined)[] = [];
        const { url } = await listen((incoming, response) => {
            paths.push(incoming.url);
            if (paths.length === 1) {
                json(response, 200, page);
            }
        });
        const log = opened(createPlatformLog({ url }));
        const options = { limit: 10, waitMilliseconds: 1000 };
        expect((await log.read("claims.0", 1, options)).val).to.deep.equal(page);
        const abort = new AbortController();
        setTimeout(() => abort.abort(), 10);
        expect((await log.read("claims.0", 3, { ...options, signal: abort.signal })).err).to.equal(true);
        expect(paths[0]).to.equal("/log/claims.0/entries?from=1&limit=10&waitMs=1000");
    });
});

describe("host list adapter", () => {
    const host = {
        host: "h",
        dataCentre: "a",
        fabricDomain: "f",
        url: "http://127.0.0.1:1",
        state: "live",
        accelerators: 1,
    };
    const cases: { guards: string; status: number; body: object; ok: boolean; }[] = [
        { guards: "a valid list is refused", status: 200, body: { hosts: [host] }, ok: true },
        {
            guards: "a malformed host empties the list",
            status: 200,
            body: { hosts: [{ ...host, state: "x" }] },
            ok: false,
        },
        { guards: "an outage looks like an empty list", status: 503, body: { hosts: [] }, ok: false },
    ];

    cases.forEach(({ guards, status, body, ok }) => {
        it(`guards against this failure: ${guards}`, async () => {
            const { url } = await listen((...[, response]) => {
                response.writeHead(status).end(JSON.stringify(body));
            });
            const list = opened(createHostList({ url }));
            expect((await list.list()).ok).to.equal(ok);
        });
    });
});
