import { expect } from "chai";
import { createPublished } from "../../tasks/published.js";
import { answerWhole, chat, send, streamOf, until, withTestServer } from "./testserver.js";

const share = { team: "legal", weight: 1, queueLength: 1 };

describe("limits over HTTP", () => {
    const cases: { guards: string; share: object; capacity: number; code: string; }[] = [
        {
            guards: "requests above the rate of the team are sent on",
            share: { ...share, requestsPerSecond: 1 },
            capacity: 16,
            code: "rate_limited",
        },
        {
            guards: "requests beyond the queue wait",
            share: { ...share, concurrency: 1 },
            capacity: 1,
            code: "queue_full",
        },
    ];
    cases.forEach(({ guards, share: limits, capacity, code }) => {
        it(`does not fail like this: ${guards}`, () =>
            withTestServer({
                engines: [(...all) => void setTimeout(() => answerWhole(...all), 200)],
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

    it("applies the concurrency of the most specific rule", () =>
        withTestServer({
            engines: [streamOf(["a"], "hang")],
            rows: [{ kind: "rule", name: "narrow", model: "notes", team: "legal", concurrency: 1 }],
        }, async server => {
            const first = chat(server, { stream: true }, { "x-damaskvale-deadline-ms": "150" });
            await until(() => server.engines[0]!.seen.length === 1);
            const second = await chat(server);
            await first;

            expect(second).to.deep.include({ status: 429, code: "rate_limited", outcome: "not-run" });
            await until(() => server.dispatcher.inProgress() === 0);
            server.engines[0]!.handle = answerWhole;
            expect((await chat(server)).status).to.equal(200);
        }));

    const leaving: { guards: string; rows: Record<string, unknown>[]; allowed: boolean; code: string; }[] = [
        {
            guards: "a group with a draining member gets new work",
            rows: [{ kind: "target", name: "group-0-a", state: "draining" }],
            allowed: true,
            code: "no_ready_group",
        },
        {
            guards: "a group that lost a confirmation since the choice gets the request",
            rows: [],
            allowed: false,
            code: "target_failed",
        },
    ];
    leaving.forEach(({ guards, rows, allowed, code }) => {
        it(`does not fail like this: ${guards}`, () =>
            withTestServer({ rows }, async server => {
                server.groups.allowed = allowed;
                const answer = await chat(server);

                expect(answer).to.deep.include({ code, outcome: "not-run" });
                expect(Number(answer.retryAfter)).to.be.greaterThan(0);
                expect(server.engines[0]!.seen).to.have.length(0);
            }));
    });

    it("sends nothing to a draining service", () =>
        withTestServer({ rows: [{ kind: "target", name: "fees", state: "draining" }] }, async server => {
            const answer = await send(server, "/services/fees/receipts", { method: "POST" });
            expect(answer).to.deep.include({ status: 503, code: "no_ready_group", outcome: "not-run" });
            expect(server.service.seen).to.have.length(0);
            expect(server.claims.released).to.have.length(1);
        }));
});
