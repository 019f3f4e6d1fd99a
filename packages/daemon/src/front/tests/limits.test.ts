import { expect } from "chai";
import type { ServerResponse } from "node:http";
import { createPublished } from "../../tasks/published.js";
import { chat, chunkOf, respondComplete, send, until, withTestServer } from "./testserver.js";

const share = { team: "legal", weight: 1, queueLength: 1 };

describe("limits over HTTP", () => {
    const cases: { title: string; share: object; capacity: number; code: string; }[] = [
        {
            title: "requests above the rate limit of the team",
            share: { ...share, requestsPerSecond: 1 },
            capacity: 16,
            code: "rate_limited",
        },
        {
            title: "requests that do not fit into the queue",
            share: { ...share, concurrency: 1 },
            capacity: 1,
            code: "queue_full",
        },
    ];
    cases.forEach(({ title, share: limits, capacity, code }) => {
        it(`refuses ${title}`, () =>
            withTestServer({
                engines: [(...all) => void setTimeout(() => respondComplete(...all), 200)],
                dispatcher: { shares: createPublished([limits as typeof share]), concurrencyPerGroup: capacity },
            }, async server => {
                const startedAt = performance.now();
                const refused = await Promise.any([...Array(8).keys()].map(async () => {
                    const answer = await chat(server, {}, { "x-damaskvale-deadline-ms": "5000" });
                    return answer.status === 429 ? answer : Promise.reject(new Error(`status ${answer.status}`));
                }));

                expect(refused).to.deep.include({ code, outcome: "not-run" });
                expect(Number(refused.retryAfter)).to.be.greaterThan(0);
                expect(performance.now() - startedAt).to.be.lessThan(150);
            }));
    });

    const endings: { title: string; end: (held: ServerResponse) => void; }[] = [
        { title: "is complete", end: held => held.end("data: [DONE]\n\n") },
        { title: "is cut off", end: held => held.destroy() },
    ];
    endings.forEach(({ title, end }) => {
        it(`applies the concurrency of the most specific rule until the request in progress ${title}`, async () => {
            let held: ServerResponse | undefined;
            await withTestServer({
                engines: [(...[, response]) => {
                    held = response.writeHead(200, { "content-type": "text/event-stream" });
                    response.write(`data: ${chunkOf("a")}\n\n`);
                }],
                rows: [{ kind: "rule", name: "narrow", model: "notes", team: "legal", concurrency: 1 }],
                tokenTimeoutMilliseconds: 60_000,
            }, async server => {
                const first = chat(server, { stream: true }, { "x-damaskvale-deadline-ms": "60000" });
                await until(() => server.engines[0]!.received.length === 1);
                const second = await chat(server);

                expect(second).to.deep.include({ status: 429, code: "rate_limited", outcome: "not-run" });
                expect(server.engines[0]!.received).to.have.length(1);
                server.engines[0]!.handle = respondComplete;
                end(held!);
                await first.catch(() => undefined);
                await until(() => server.dispatcher.inProgress() === 0);
                expect((await chat(server)).status).to.equal(200);
            });
        });
    });

    it("ends the concurrency of a request with its deadline", () =>
        withTestServer({
            engines: [(...[, response]) =>
                void response.writeHead(200, { "content-type": "text/event-stream" }).write(
                    `data: ${chunkOf("a")}\n\n`,
                )],
            rows: [{ kind: "rule", name: "narrow", model: "notes", team: "legal", concurrency: 1 }],
            tokenTimeoutMilliseconds: 60_000,
        }, async server => {
            await chat(server, { stream: true }, { "x-damaskvale-deadline-ms": "150" });
            await until(() => server.dispatcher.inProgress() === 0);
            server.engines[0]!.handle = respondComplete;
            expect((await chat(server)).status).to.equal(200);
        }));

    const unavailableGroups: { title: string; rows: Record<string, unknown>[]; allowed: boolean; code: string; }[] = [
        {
            title: "a group with a draining member",
            rows: [{ kind: "target", name: "group-0-a", state: "draining" }],
            allowed: true,
            code: "no_ready_group",
        },
        {
            title: "a group that lost its confirmation after it was chosen",
            rows: [],
            allowed: false,
            code: "target_failed",
        },
    ];
    unavailableGroups.forEach(({ title, rows, allowed, code }) => {
        it(`does not dispatch to ${title}`, () =>
            withTestServer({ rows }, async server => {
                server.groups.allowed = allowed;
                const answer = await chat(server);

                expect(answer).to.deep.include({ code, outcome: "not-run" });
                expect(Number(answer.retryAfter)).to.be.greaterThan(0);
                expect(server.engines[0]!.received).to.have.length(0);
            }));
    });

    it("sends nothing to a draining service", () =>
        withTestServer({ rows: [{ kind: "target", name: "fees", state: "draining" }] }, async server => {
            const answer = await send(server, "/services/fees/receipts", { method: "POST" });
            expect(answer).to.deep.include({ status: 503, code: "no_ready_group", outcome: "not-run" });
            expect(server.service.received).to.have.length(0);
            expect(server.claims.released).to.have.length(1);
        }));
});
