/** Test server with the complete request path over HTTP: front end, dispatcher and clients, with fake targets. */
import { createServer, type IncomingMessage, type RequestListener, type Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { createEngineClient } from "../../adapters/engineclient.js";
import { createTargetPools } from "../../adapters/pools.js";
import { createServiceClient } from "../../adapters/serviceclient.js";
import { createDispatcher } from "../../dispatch/dispatcher.js";
import type { DispatcherOptions } from "../../dispatch/options.js";
import {
    baseRows,
    createClaims,
    createGroup,
    createGroups,
    createOptions,
    createTable,
    TEAM_KEY,
} from "../../dispatch/tests/fakes.js";
import type { FrontEndOptions } from "../exchange.js";
import { createFrontEnd } from "../front.js";

/** Request as a target received it. */
export interface ReceivedRequest {
    readonly method: string;
    readonly url: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/** HTTP server as a target. Probes and cancellations do not reach `handle`. */
export interface FakeTarget {
    readonly url: string;
    readonly received: ReceivedRequest[];
    readonly cancelled: string[];
    handle: RequestListener;
    close(): void;
}

const isProbeOrCancellation = ({ method, url }: IncomingMessage): boolean =>
    url === "/report" || method === "DELETE" || method === "HEAD";

/** Starts a target on a free port. */
export async function startTarget(handle: RequestListener): Promise<FakeTarget> {
    const received: ReceivedRequest[] = [];
    const cancelled: string[] = [];
    const server = createServer((request, response) => {
        const chunks: Buffer[] = [];
        request.on("data", chunk => chunks.push(chunk)).on("end", () => {
            if (isProbeOrCancellation(request)) {
                cancelled.push(...(request.method === "DELETE" ? [request.url ?? ""] : []));
                response.end("{}");
                return;
            }
            const { method = "", url = "", headers } = request;
            received.push({ method, url, headers, body: Buffer.concat(chunks).toString() });
            target.handle(request, response);
        });
    });
    const url = await listen(server);
    const target: FakeTarget = {
        url,
        received,
        cancelled,
        handle,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
    return target;
}

export const chunkOf = (content: string, id = "chatcmpl-1"): string =>
    JSON.stringify({ id, object: "chat.completion.chunk", choices: [{ index: 0, delta: { content } }] });

/** Streams data events, and then sends the end marker, destroys the connection, or keeps it open. */
export const streamEvents =
    (contents: readonly string[], then: "done" | "cut" | "hang", id?: string): RequestListener => (...[, response]) => {
        response.writeHead(200, { "content-type": "text/event-stream" });
        contents.forEach(content => response.write(`data: ${chunkOf(content, id)}\n\n`));
        if (then === "done") {
            response.end("data: [DONE]\n\n");
        }
        if (then === "cut") {
            setTimeout(() => response.destroy(), 20);
        }
    };

export const completion = {
    id: "chatcmpl-1",
    object: "chat.completion",
    choices: [{ index: 0, finish_reason: "stop" }],
};
export const respondComplete: RequestListener = (...[, response]) => {
    response.setHeader("content-type", "application/json").end(JSON.stringify(completion));
};

/** Differences from the default test server. */
export interface TestServerOptions {
    readonly engines?: readonly RequestListener[];
    readonly service?: RequestListener;
    readonly front?: Partial<FrontEndOptions>;
    readonly dispatcher?: Partial<DispatcherOptions>;
    readonly rows?: readonly Record<string, unknown>[];
    /** Time without a token after which a stream of an engine counts as silent. */
    readonly tokenTimeoutMilliseconds?: number;
}

/** Starts the server and its targets; `close` stops all of them. */
export async function startTestServer(options: TestServerOptions = {}) {
    const counts: Record<string, number> = {};
    const engines = await Promise.all((options.engines ?? [respondComplete]).map(startTarget));
    const service = await startTarget(options.service ?? respondComplete);
    const groups = createGroups(engines.map(({ url }, index) => createGroup(`group-${index}`, url)));
    const claims = createClaims();
    const pools = createTargetPools();
    const onForeignData = (): void => {
        counts["foreign"] = (counts["foreign"] ?? 0) + 1;
    };
    const onSilence = (...[, lost]: [string, string]): void => {
        counts[`lost ${lost}`] = (counts[`lost ${lost}`] ?? 0) + 1;
    };
    const shared = { pools, credential: "credential", onForeignData, onSilence, probeTimeoutMilliseconds: 200 };
    const dispatcherOptions = {
        ...createOptions({
            engines: createEngineClient({
                ...shared,
                firstTokenTimeoutMilliseconds: 150,
                tokenTimeoutMilliseconds: options.tokenTimeoutMilliseconds ?? 100,
            }),
            services: createServiceClient(shared),
            groups,
            claims,
            table: createTable([...baseRows(service.url), ...options.rows ?? []]),
            counts,
        }),
        ...options.dispatcher,
    };
    const dispatcher = createDispatcher(dispatcherOptions);
    const front = createFrontEnd({
        daemon: "daemon-1",
        incarnation: "i1",
        listen: "127.0.0.1:0",
        headerTimeoutMilliseconds: 200,
        bodyTimeoutMilliseconds: 200,
        maximumBodyBytes: 2_000,
        peerSecret: "secret-of-daemons",
        dispatcher,
        table: dispatcherOptions.table,
        ready: () => true,
        clock: dispatcherOptions.clock,
        tracer: dispatcherOptions.tracer,
        metrics: dispatcherOptions.metrics,
        log: dispatcherOptions.log,
        ...options.front,
    });
    const { port } = await front.listen();
    return {
        port,
        url: `http://127.0.0.1:${port}`,
        front,
        dispatcher,
        engines,
        service,
        groups,
        claims,
        counts,
        close: async () => {
            front.cutOff();
            await front.close();
            dispatcher.close();
            await pools.close();
            [...engines, service].forEach(target => target.close());
        },
    };
}

/** Running test server. */
export type TestServer = Awaited<ReturnType<typeof startTestServer>>;

/** Sends a request with the API key of the team `legal`. */
export async function send(server: TestServer, target: string, init: RequestInit = {}) {
    const response = await fetch(`${server.url}${target}`, {
        ...init,
        headers: { authorization: `Bearer ${TEAM_KEY}`, ...init.headers },
    });
    const text = await response.text();
    const { status, headers } = response;
    return {
        status,
        text,
        code: (/"code":"([a-z_]+)"/.exec(text) ?? [])[1],
        outcome: headers.get("x-damaskvale-outcome"),
        requestId: headers.get("x-damaskvale-request-id"),
        retryAfter: headers.get("retry-after"),
    };
}

export const chat = (server: TestServer, body: Record<string, unknown> = {}, headers: Record<string, string> = {}) =>
    send(server, "/v1/chat/completions", {
        method: "POST",
        headers: { "content-type": "application/json", ...headers },
        body: JSON.stringify({ model: "notes", messages: [{ role: "user", content: "hello" }], ...body }),
    });

/** Sends text on a new connection and returns all data received until the connection closes. */
export function sendRaw(server: TestServer, text: string): Promise<string> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        const socket = connect(server.port, "127.0.0.1", () => socket.write(text));
        socket.on("data", chunk => chunks.push(chunk));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve(Buffer.concat(chunks).toString()));
        socket.setTimeout(2_000, () => socket.destroy());
    });
}

function listen(server: Server): Promise<string> {
    return new Promise(resolve => {
        server.listen(0, "127.0.0.1", () => resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`));
    });
}

/** Runs a test on its own test server. */
export async function withTestServer(
    options: TestServerOptions,
    run: (server: TestServer) => Promise<void>,
): Promise<void> {
    const server = await startTestServer(options);
    try {
        await run(server);
    }
    finally {
        await server.close();
    }
}

/** Waits until a condition holds, or throws after 2 s. */
export async function until(condition: () => boolean): Promise<void> {
    for (let waited = 0; !condition(); waited += 5) {
        if (waited > 2_000) {
            throw new Error(`condition not met within 2 s: ${condition.toString()}`);
        }
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

/** Joins the contents of the chunks of a stream. */
export const contentsOf = (text: string): string =>
    [...text.matchAll(/"content":"([^"]*)"/g)].map(([, content]) => content).join("");
