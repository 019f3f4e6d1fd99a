/** Sends the requests of the demo through the daemons, as the applications of the users do. */
import { randomUUID } from "node:crypto";
import OpenAI from "openai";
import { callerKeys } from "./scenario.js";

/** Response to one request of the demo. */
export interface DemoAnswer {
    readonly title: string;
    readonly daemon: string;
    readonly status: number;
    readonly outcome: string;
    readonly requestId: string;
    readonly milliseconds: number;
    readonly text: string;
}

/** Daemon that receives a request. */
export interface DemoDaemon {
    readonly name: string;
    readonly url: string;
}

const REQUEST_TIMEOUT_MILLISECONDS = 30_000;
const NOTE = "Draft the certification note for the birth certificate 2026/0417, for use in Portugal.";
const LETTER =
    "Write the care letter for the parcel of three pairs of wool socks, size 42, to Frau Huber in Lenggries.";

/** Sends all requests of the demo to the daemons in turn, and calls `report` with each response. */
export async function sendDemoRequests(
    daemons: readonly DemoDaemon[],
    report: (answer: DemoAnswer) => void,
): Promise<readonly DemoAnswer[]> {
    const requests: readonly ((daemon: DemoDaemon) => Promise<DemoAnswer>)[] = [
        daemon => sendChat(daemon, "certification note", "apostille-routing", "certification-notes", NOTE),
        daemon =>
            sendStreamedChat(daemon, "certification note, streamed", "apostille-routing", "certification-notes", NOTE),
        daemon => sendChat(daemon, "care letter", "care-letters", "care-letters", LETTER),
        daemon => sendStreamedChat(daemon, "care letter, streamed", "care-letters", "care-letters", LETTER),
        daemon =>
            sendChange(daemon, "fee receipt", "portal", "fee-receipts/receipts", {
                application: "APO-1",
                fee: "ZAR 95",
            }),
        daemon =>
            sendChange(daemon, "subscription change", "members", "subscription-changes/subscriptions", {
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

function createClient({ url }: DemoDaemon, team: string): OpenAI {
    return new OpenAI({
        apiKey: callerKeys[team],
        baseURL: `${url}/v1`,
        maxRetries: 0,
        timeout: REQUEST_TIMEOUT_MILLISECONDS,
    });
}

function createAnswer(
    title: string,
    daemon: DemoDaemon,
    startedAt: number,
    response: Response,
    text: string,
): DemoAnswer {
    return {
        title,
        daemon: daemon.name,
        status: response.status,
        outcome: response.headers.get("x-damaskvale-outcome") ?? "complete",
        requestId: response.headers.get("x-damaskvale-request-id") ?? "",
        milliseconds: Math.round(performance.now() - startedAt),
        text,
    };
}

async function sendChat(
    daemon: DemoDaemon,
    title: string,
    team: string,
    model: string,
    content: string,
): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const { data, response } = await createClient(daemon, team).chat.completions.create({
        model,
        messages: [{ role: "user", content }],
    }).withResponse();
    return createAnswer(title, daemon, startedAt, response, data.choices[0]?.message.content ?? "");
}

async function sendStreamedChat(
    daemon: DemoDaemon,
    title: string,
    team: string,
    model: string,
    content: string,
): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const { data, response } = await createClient(daemon, team).chat.completions.create({
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
    // The headers of a stream are sent before its outcome is known, so the finish reason decides.
    const outcome = finished ? "complete" : "unknown";
    return { ...createAnswer(title, daemon, startedAt, response, tokens.join("")), outcome };
}

async function sendChange(
    daemon: DemoDaemon,
    title: string,
    team: string,
    path: string,
    body: unknown,
): Promise<DemoAnswer> {
    const startedAt = performance.now();
    const response = await fetch(`${daemon.url}/services/${path}`, {
        method: "POST",
        headers: {
            "authorization": `Bearer ${callerKeys[team]}`,
            "content-type": "application/json",
            "idempotency-key": randomUUID(),
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    return createAnswer(title, daemon, startedAt, response, await response.text());
}
