import { startTestServer, type TestServer } from "@damaskvale/daemon/dist/front/tests/testserver.js";
import { expect } from "chai";
import type { RequestListener } from "node:http";
import OpenAI from "openai";

const chunk = (fields: Record<string, unknown>) => ({
    id: "chatcmpl-77",
    object: "chat.completion.chunk",
    created: 1_700_000_000,
    model: "notes",
    system_fingerprint: "fp_1",
    ...fields,
});
const choice = (delta: Record<string, unknown>, finishReason?: string) => ({
    index: 0,
    delta,
    logprobs: JSON.parse("null"),
    finish_reason: finishReason ?? JSON.parse("null"),
});
const chunks = [
    chunk({ choices: [choice({ role: "assistant", content: "" })] }),
    chunk({ choices: [choice({ content: "Grüße 🧦 \u2028" })] }),
    chunk({ choices: [choice({ tool_calls: [{ index: 0, id: "call_1", function: { arguments: '{"a":' } }] })] }),
    chunk({ choices: [choice({}, "tool_calls")] }),
    chunk({ choices: [], usage: { prompt_tokens: 3, completion_tokens: 4, total_tokens: 7 } }),
];
const completion = {
    id: "chatcmpl-78",
    object: "chat.completion",
    created: 1_700_000_000,
    model: "notes",
    choices: [0, 1].map(index => ({
        index,
        message: { role: "assistant", content: `choice ${index}`, refusal: JSON.parse("null") },
        finish_reason: index === 0 ? "stop" : "length",
    })),
    usage: { prompt_tokens: 3, completion_tokens: 4, total_tokens: 7, unknown_details: { cached: 1 } },
    unknown_field: 9_007_199_254_740_991,
};
const engine: RequestListener = (request, response) => {
    if (request.headers["x-broken"] === "1" || request.url!.startsWith("/attempts/")) {
        response.writeHead(404).end("{}");
        return;
    }
    const streamed = path.engines[0]!.received.at(-1)!.body.includes('"stream":true');
    if (!streamed) {
        response.setHeader("content-type", "application/json").end(JSON.stringify(completion));
        return;
    }
    const cut = path.engines[0]!.received.at(-1)!.body.includes("cut");
    response.writeHead(200, { "content-type": "text/event-stream" });
    (cut ? chunks.slice(0, 2) : chunks).forEach(data => response.write(`data: ${JSON.stringify(data)}\n\n`));
    response.end(cut ? "" : "data: [DONE]\n\n");
};
let path: TestServer;

describe("unmodified openai client", () => {
    let client: OpenAI;
    before(async () => {
        path = await startTestServer({ engines: [engine] });
        client = new OpenAI({ apiKey: "key-of-legal-team", baseURL: `${path.url}/v1`, maxRetries: 0 });
    });
    after(() => path.close());
    const messages = [{ role: "user" as const, content: "Wärme" }];

    it("receives complete responses with all choices, ids and usage", async () => {
        const answer = await client.chat.completions.create({ model: "notes", messages, n: 2 });
        expect(answer).to.deep.equal(completion);
    });

    it("receives every chunk of a stream, with tool calls, finish reason and usage", async () => {
        const stream = await client.chat.completions.create({
            model: "notes",
            messages,
            stream: true,
            stream_options: { include_usage: true },
        });
        const received: unknown[] = [];
        for await (const data of stream) {
            received.push(data);
        }
        expect(received).to.deep.equal(chunks);
    });

    it("throws on an incomplete stream instead of ending it as if it were complete", async () => {
        const cut = [{ role: "user" as const, content: "cut" }];
        const stream = await client.chat.completions.create({ model: "notes", messages: cut, stream: true });
        const received: unknown[] = [];
        const failure = await (async () => {
            for await (const data of stream) {
                received.push(data);
            }
        })().catch((error: unknown) => error);

        expect(received).to.have.length(2);
        expect(failure).to.be.instanceOf(OpenAI.APIError);
        expect((failure as InstanceType<typeof OpenAI.APIError>).code).to.equal("stream_incomplete");
    });

    it("lists and retrieves models", async () => {
        const models = await client.models.list();
        expect(models.data.map(({ id }) => id)).to.deep.equal(["notes"]);
        expect((await client.models.retrieve("notes")).object).to.equal("model");
    });

    const errors: { cause: string; run: () => Promise<unknown>; type: unknown; code: string; }[] = [
        {
            cause: "an unknown key",
            run: () => new OpenAI({ apiKey: "x", baseURL: `${path.url}/v1`, maxRetries: 0 }).models.list(),
            type: OpenAI.AuthenticationError,
            code: "invalid_api_key",
        },
        {
            cause: "an unknown model",
            run: () => client.chat.completions.create({ model: "none", messages }),
            type: OpenAI.NotFoundError,
            code: "model_not_found",
        },
    ];
    errors.forEach(({ cause, run, type, code }) => {
        it(`throws the error type and code for ${cause}`, async () => {
            const error = await run().catch((failure: unknown) => failure);
            expect(error).to.be.instanceOf(type);
            expect((error as InstanceType<typeof OpenAI.APIError>).code).to.equal(code);
        });
    });
});
