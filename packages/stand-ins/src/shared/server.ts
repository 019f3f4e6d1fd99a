/** HTTP server of the stand-ins: routing, authentication, fault injection and the control routes for tests. */
import { createServer, type IncomingHttpHeaders, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createFaults, type Faults, faultSchema } from "./faults.js";
import { createJournal, type Journal } from "./journal.js";

/** Request passed to a route handler. `parameters` are the capture groups of the route's pattern. */
export interface StandInRequest {
    readonly method: string;
    readonly path: string;
    readonly query: URLSearchParams;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
    readonly parameters: readonly string[];
    readonly response: ServerResponse;
}

/** Response of a route handler. A handler that writes to the response itself returns undefined. */
export interface Reply {
    readonly status: number;
    readonly body?: unknown;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Route. A control route is for tests: it needs no credential and is not affected by faults. */
export interface Route {
    readonly method: string;
    readonly pattern: RegExp;
    readonly control?: boolean;
    handle(request: StandInRequest): Reply | undefined | Promise<Reply | undefined>;
}

/** State that the server and the routes of a stand-in share. */
export interface StandInContext {
    readonly faults: Faults;
    readonly journal: Journal;
}

/** Options of a server. Without `credential`, requests are not authenticated. */
export interface ServerOptions {
    readonly port: number;
    readonly credential?: string;
    routes(context: StandInContext): readonly Route[];
}

/** Creates an error response in the OpenAI format. */
export function createErrorReply(
    status: number,
    code: string,
    message: string,
    headers?: Readonly<Record<string, string>>,
): Reply {
    return { status, body: { error: { message, type: "stand_in_error", code } }, headers };
}

/** Parses the JSON body of a request; throws a SyntaxError if it is malformed. */
export function parseJsonBody(request: StandInRequest): unknown {
    return JSON.parse(request.body.toString("utf8"));
}

/** Starts a stand-in, writes one JSON line with its URL and process id to standard output, and returns the URL. */
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

/** Exits when standard input is closed, so that the process does not outlive its parent. */
export function exitWithParent(): void {
    process.stdin.on("end", () => process.exit(0));
    process.stdin.on("error", () => process.exit(0));
    process.stdin.resume();
}

interface Sockets {
    add(socket: Socket): void;
    isSilent(socket: Socket): boolean;
    /** Exempts a connection from `silence`; used for connections of tests. */
    exempt(socket: Socket): void;
}

function createSockets(faults: Faults): Sockets {
    const open = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    const exempt = new WeakSet<Socket>();
    const discardWrite = (): boolean => true;
    faults.subscribe(({ fault }) => {
        if (fault === "silence") {
            [...open].filter(socket => !exempt.has(socket)).forEach(socket => {
                silent.add(socket);
                Object.assign(socket, { write: discardWrite, end: () => socket });
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
    const matchedRoute = routes.find(route =>
        (route.method === "*" || route.method === method) && route.pattern.test(path)
    );
    const body = Buffer.concat(await message.toArray() as Buffer[]);
    if (matchedRoute?.control === true) {
        sockets.exempt(message.socket);
    }
    else {
        if (sockets.isSilent(message.socket)) {
            return;
        }
        const faultReply = await applyFaults(faults, options.credential, message, method, path);
        if (faultReply === "closed") {
            return;
        }
        if (faultReply !== undefined) {
            return send(response, faultReply);
        }
    }
    if (matchedRoute === undefined) {
        return send(response, createErrorReply(404, "not_found", `no route ${method} ${path}`));
    }
    const request = {
        method,
        path,
        query,
        headers: message.headers,
        body,
        parameters: matchedRoute.pattern.exec(path)!.slice(1),
        response,
    };
    const dropFault = matchedRoute.control === true ? undefined : faults.take("dropAnswer", method, path);
    if (dropFault === undefined) {
        const reply = await matchedRoute.handle(request);
        if (matchedRoute.control !== true) {
            await faults.waitUntilCleared("holdAnswer", method, path);
        }
        return reply === undefined ? undefined : send(response, reply);
    }
    if (dropFault.milliseconds > 0) {
        message.socket.destroy();
        await delay(dropFault.milliseconds);
    }
    await matchedRoute.handle(request);
    message.socket.destroy();
}

async function applyFaults(
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
