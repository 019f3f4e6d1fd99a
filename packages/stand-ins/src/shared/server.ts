/** HTTP server of the stand-ins: routes, credential check, faults, and the routes that tests use. */
import { createServer, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createFaults, type Faults, faultSchema } from "./faults.js";
import { createJournal, type Journal } from "./journal.js";

/** Request as a route sees it. `parameters` are the groups of the route's pattern. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly parameters: readonly string[];
    readonly response: ServerResponse;
}

/** Answer of a route. A route that writes to the response itself returns undefined. */
export interface Reply {
    readonly status: number;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** One route. A control route is open to tests without a credential and is not affected by faults. */
export interface Route {
    readonly method: string;
    readonly pattern: RegExp;
    readonly control?: boolean;
    handle(request: StandInRequest): Reply | undefined | Promise<Reply | undefined>;
}

/** What a stand-in is made of. */
export interface StandInContext {
    readonly faults: Faults;
    readonly journal: Journal;
}

/** Options of a server. Without `credential`, requests are not checked. */
export interface ServerOptions {
    readonly port: number;
    readonly credential?: string;
    routes(context: StandInContext): readonly Route[];
}

/** Makes an error reply in the OpenAI shape. */
export function createErrorReply(
    status: number,
    code: string,
    message: string,
    headers?: Readonly<Record<string, string>>,
): Reply {
    return { status, body: { error: { message, type: "stand_in_error", code } }, headers };
}

/** Parses the JSON body of a request. */
export function parseJsonBody(request: StandInRequest): unknown {
    return JSON.parse(request.body.toString("utf8"));
}

/** Starts a stand-in, prints one JSON line with its URL and process id, and returns the URL. */
export async function startStandIn(options: ServerOptions): Promise<string> {
    const context: StandInContext = { faults: createFaults(), journal: createJournal() };
    const sockets = createSockets(context.faults);
    const routes = [...controlRoutes(context), ...options.routes(context)];
    const server = createServer((message, response) => {
        handle(options, context, sockets, routes, message, response).catch(error => {
            if (!response.headersSent) {
                send(response, createErrorReply(400, "stand_in_failed", String(error)));
            }
        });
    });
    server.keepAliveTimeout = 60_000;
    server.on("connection", socket => sockets.add(socket));
    await new Promise<void>(resolve => server.listen(options.port, "127.0.0.1", resolve));
    const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    process.stdout.write(`${JSON.stringify({ url, pid: process.pid })}\n`);
    process.on("SIGTERM", () => process.exit(0));
    process.on("SIGINT", () => process.exit(0));
    return url;
}

/** Exits once the process that started this one has closed our standard input, so that none is left behind. */
export function exitWithParent(): void {
    process.stdin.on("end", () => process.exit(0));
    process.stdin.on("error", () => process.exit(0));
    process.stdin.resume();
}

interface Sockets {
    add(socket: Socket): void;
    isSilent(socket: Socket): boolean;
    /** Excludes the connection of a test from `silence`. */
    exempt(socket: Socket): void;
}

function createSockets(faults: Faults): Sockets {
    const open = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    const exempt = new WeakSet<Socket>();
    const swallow = (): boolean => true;
    faults.subscribe(({ fault }) => {
        if (fault === "silence") {
            [...open].filter(socket => !exempt.has(socket)).forEach(socket => {
                silent.add(socket);
                Object.assign(socket, { write: swallow, end: () => socket });
            });
        }
    });
    return {
        add: socket => {
            open.add(socket);
            socket.on("close", () => open.delete(socket));
            socket.on("error", () => open.delete(socket));
        },
        isSilent: socket => silent.has(socket),
        exempt: socket => exempt.add(socket),
    };
}

function controlRoutes({ faults, journal }: StandInContext): Route[] {
    return [
        {
            method: "GET",
            pattern: /^\/stand-in\/journal$/,
            control: true,
            handle: ({ query }) => {
                const from = Number(query.get("from") ?? 0);
                return { status: 200, body: { entries: journal.entries().filter(({ sequence }) => sequence >= from) } };
            },
        },
        {
            method: "GET",
            pattern: /^\/stand-in\/faults$/,
            control: true,
            handle: () => ({ status: 200, body: { faults: faults.active() } }),
        },
        {
            method: "POST",
            pattern: /^\/stand-in\/faults$/,
            control: true,
            handle: request => {
                faults.set(faultSchema.parse(parseJsonBody(request)));
                return { status: 200, body: {} };
            },
        },
    ];
}

async function handle(
    options: ServerOptions,
    { faults }: StandInContext,
    sockets: Sockets,
    routes: readonly Route[],
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { pathname: path, searchParams: query } = new URL(message.url ?? "/", "http://127.0.0.1");
    const method = message.method ?? "GET";
    const found = routes.find(route => (route.method === "*" || route.method === method) && route.pattern.test(path));
    const body = Buffer.concat(await message.toArray() as Buffer[]);
    if (found?.control === true) {
        sockets.exempt(message.socket);
    }
    else {
        if (sockets.isSilent(message.socket)) {
            return;
        }
        const refusal = await passFaults(faults, options.credential, message, method, path);
        if (refusal === "closed") {
            return;
        }
        if (refusal !== undefined) {
            return send(response, refusal);
        }
    }
    if (found === undefined) {
        return send(response, createErrorReply(404, "not_found", `no route ${method} ${path}`));
    }
    const request = {
        method,
        path,
        query,
        headers: message.headers,
        body,
        parameters: found.pattern.exec(path)!.slice(1),
        response,
    };
    const dropped = found.control === true ? undefined : faults.take("dropAnswer", method, path);
    if (dropped === undefined) {
        const reply = await found.handle(request);
        if (found.control !== true) {
            await faults.waitUntilCleared("holdAnswer", method, path);
        }
        return reply === undefined ? undefined : send(response, reply);
    }
    if (dropped.milliseconds > 0) {
        message.socket.destroy();
        await delay(dropped.milliseconds);
    }
    await found.handle(request);
    message.socket.destroy();
}

async function passFaults(
    faults: Faults,
    credential: string | undefined,
    message: IncomingMessage,
    method: string,
    path: string,
): Promise<Reply | "closed" | undefined> {
    if (faults.take("dropRequest", method, path) !== undefined) {
        message.socket.destroy();
        return "closed";
    }
    await faults.waitUntilCleared("freeze", method, path);
    const slow = faults.take("slow", method, path);
    if (slow !== undefined) {
        await delay(slow.milliseconds);
    }
    if (faults.take("outage", method, path) !== undefined) {
        return createErrorReply(503, "outage", "the service is unavailable");
    }
    if (credential !== undefined && message.headers.authorization !== `Bearer ${credential}`) {
        return createErrorReply(401, "unauthorized", "the credential is not valid");
    }
    return undefined;
}

function send(response: ServerResponse, { status, body, headers = {} }: Reply): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const payload = JSON.stringify(body ?? {});
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(payload),
        ...headers,
    });
    response.end(payload);
}
