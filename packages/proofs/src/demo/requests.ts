/** Requests of the demo's callers, sent through the daemons as the users' applications send them. */
import { randomUUID } from "node:crypto";
import OpenAI from "openai";
import { callerKeys } from "./scenario.js";

/** Answer to one request of the demo. */
export interface DemoAnswer {
    readonly title: string;
    readonly daemon: string;
    readonly status: number;
    readonly outcome: string;
    readonly requestId: string;
    readonly milliseconds: number;
    readonly text: string;
}

/** Daemon that takes a request. */
export interface Entry {
    readonly name: string;
    readonly url: string;
}

const REQUEST_MILLISECONDS = 30_000;
const NOTE = "Draft the certification note for the birth certificate 2026/0417, for use in Portugal.";
const LETTER =
    "Write the care letter for the parcel of three pairs of wool socks, size 42, to Frau Huber in Lenggries.";

/** Sends all requests of the demo, each to the next daemon, and passes on each answer. */
export async function sendDemoRequests(
    daemons: readonly Entry[],
    report: (answer: DemoAnswer) => void,
): Promise<readonly DemoAnswer[]> {
    const requests: readonly ((entry: Entry) => Promise<DemoAnswer>)[] = [
        entry => chat(entry, "certification note", "apostille-routing", "certification-notes", NOTE),
        entry => streamedChat(entry, "certification note, streamed", "apostille-routing", "certification-notes", NOTE),
        entry => chat(entry, "care letter", "care-letters", "care-letters", LETTER),
        entry => streamedChat(entry, "care letter, streamed", "care-letters", "care-letters", LETTER),
        entry =>
            change(entry, "fee receipt", "portal", "fee-receipts/receipts", { application: "APO-1", fee: "ZAR 95" }),
        entry =>
            change(entry, "subscription change", "members", "subscription-changes/subscriptions", {
                member: 7,
                size: 42,
            }),
    ];
    const answers: DemoAnswer[] = [];
    for (const [index, request] of requests.entries()) {
        const answer = await request(daemons[index % daemons.length]!);
        report(answer);
        answers.push(answer);
    }
    return answers;
}

function clientOf({ url }: Entry, team: string): OpenAI {
    return new OpenAI({ apiKey: callerKeys[team], baseURL: `${url}/v1`, maxRetries: 0, timeout: REQUEST_MILLISECONDS });
}

function answerOf(title: string, entry: Entry, startedAt: number, response: Response, text: string): DemoAnswer {
    return {
        title,
        daemon: entry.name,
        status: response.status,
        outcome: response.headers.get("x-damaskvale-outcome") ?? "complete",
        requestId: response.headers.get("x-damaskvale-request-id") ?? "",
        milliseconds: Math.round(performance.now() - startedAt),
        text,
    };
}

async function chat(entry: Entry, title: string, team: string, model: string, content: string): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const { data, response } = await clientOf(entry, team).chat.completions.create({
        model,
        messages: [{ role: "user", content }],
    }).withResponse();
    return answerOf(title, entry, startedAt, response, data.choices[0]?.message.content ?? "");
}

async function streamedChat(
    entry: Entry,
    title: string,
    team: string,
    model: string,
    content: string,
): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const { data, response } = await clientOf(entry, team).chat.completions.create({
        model,
        messages: [{ role: "user", content }],
        stream: true,
    }).withResponse();
    const tokens: string[] = [];
    let finished = false;
    for await (const part of data) {
        tokens.push(part.choices[0]?.delta.content ?? "");
        finished ||= part.choices[0]?.finish_reason === "stop";
    }
    // The header of a stream is sent before its outcome is known; the end of the stream tells it.
    const outcome = finished ? "complete" : "unknown";
    return { ...answerOf(title, entry, startedAt, response, tokens.join("")), outcome };
}

async function change(entry: Entry, title: string, team: string, path: string, body: unknown): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const response = await fetch(`${entry.url}/services/${path}`, {
        method: "POST",
        headers: {
            "authorization": `Bearer ${callerKeys[team]}`,
            "content-type": "application/json",
            "idempotency-key": randomUUID(),
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
    });
    return answerOf(title, entry, startedAt, response, await response.text());
}
