/** Open-loop load generator for streamed chat completions that records the latency of their events. */
import { build, type Histogram } from "hdr-histogram-js";
import { setTimeout as delay } from "node:timers/promises";
import { Agent, request } from "undici";

/** URL and headers of a stream request. */
export interface StreamTarget {
    readonly url: string;
    readonly headers: Readonly<Record<string, string>>;
}

/** Rate, size and duration of the load. */
export interface LoadOptions {
    readonly requestsPerSecond: number;
    readonly tokensPerRequest: number;
    readonly milliseconds: number;
    readonly model: string;
    /** Chooses the target of the request with this number. */
    target(number: number): StreamTarget;
}

/** Measurements of a load run. Histogram values are in microseconds. */
export interface LoadResult {
    readonly firstToken: Histogram;
    readonly betweenTokens: Histogram;
    readonly tokens: number;
    readonly requests: number;
    readonly failed: number;
    readonly maximumOpen: number;
}

const MICROSECONDS_PER_MILLISECOND = 1_000;
const HIGHEST_MICROSECONDS = 60_000_000;

/** Sends requests at even intervals, regardless of response times, and waits for all responses. */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const agent = new Agent({ connections: 1_000, pipelining: 1 });
    const result = {
        firstToken: build({ highestTrackableValue: HIGHEST_MICROSECONDS }),
        betweenTokens: build({ highestTrackableValue: HIGHEST_MICROSECONDS }),
        tokens: 0,
        requests: 0,
        failed: 0,
        maximumOpen: 0,
    };
    let open = 0;
    const send = async (number: number): Promise<void> => {
        open += 1;
        result.requests += 1;
        result.maximumOpen = Math.max(result.maximumOpen, open);
        const tokens = await runStream(agent, options, number, result).catch(() => undefined);
        result.failed += tokens === undefined ? 1 : 0;
        result.tokens += tokens ?? 0;
        open -= 1;
    };
    const startedAt = performance.now();
    const total = Math.round(options.requestsPerSecond * options.milliseconds / 1_000);
    const pending: Promise<void>[] = [];
    for (let number = 0; number < total; number += 1) {
        const dueAt = startedAt + number * 1_000 / options.requestsPerSecond;
        await delay(Math.max(0, dueAt - performance.now()));
        pending.push(send(number));
    }
    await Promise.all(pending);
    await agent.close();
    return result;
}

/** Runs one stream; resolves to the number of token events, or rejects if the stream is incomplete. */
async function runStream(
    agent: Agent,
    { model, tokensPerRequest, target }: LoadOptions,
    number: number,
    { firstToken, betweenTokens }: Pick<LoadResult, "firstToken" | "betweenTokens">,
): Promise<number> {
    const { url, headers } = target(number);
    const messages = [{ role: "user", content: `Summarise record ${number} of the registry.` }];
    const sentAt = performance.now();
    const response = await request(`${url}/v1/chat/completions`, {
        dispatcher: agent,
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify({ model, stream: true, max_tokens: tokensPerRequest, messages }),
    });
    let lastAt: number | undefined;
    let tokens = 0;
    let tail = "";
    for await (const chunk of response.body) {
        const now = performance.now();
        const text = tail + (chunk as Buffer).toString("latin1");
        const events = text.split("\n\n");
        tail = events.pop() ?? "";
        const received = events.filter(event => event.includes('"content":"') && !event.includes('"content":""'));
        received.forEach(() => {
            const histogram = lastAt === undefined ? firstToken : betweenTokens;
            histogram.recordValue(Math.max(1, Math.round((now - (lastAt ?? sentAt)) * MICROSECONDS_PER_MILLISECOND)));
            lastAt = now;
        });
        tokens += received.length;
        tail = events.includes("data: [DONE]") ? "complete" : tail;
    }
    if (response.statusCode !== 200 || tail !== "complete") {
        throw new Error(`Stream ${number} is incomplete or failed with status ${response.statusCode}.`);
    }
    return tokens;
}
