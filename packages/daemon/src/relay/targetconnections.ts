/**
 * Connections to targets, and one request over one of them. Node's client is used because it tells a whole answer from
 * one that ended early with its connection, also where the connection was not to be kept.
 */
import {
    Agent,
    type ClientRequest,
    type IncomingHttpHeaders,
    type IncomingMessage,
    request as startRequest,
} from "node:http";
import type { Socket } from "node:net";
import type { HeaderList, ResponseHead } from "../ports/relayprotocol.js";

/** A request as it goes to a target. */
export interface TargetRequest {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderList;
    readonly body: Buffer;
    /** Whether to use a new connection, on which no earlier answer can be pending. */
    readonly onNewConnection: boolean;
}

/** Receives the answer of a target. After `ended` or `failed`, nothing more is called. */
export interface AnswerReceiver {
    /** The first bytes are about to be written: from here on, the target may run the request. */
    sent(): void;
    head(head: ResponseHead): void;
    data(chunk: Buffer): void;
    /** The answer is whole. */
    ended(): void;
    failed(error: Error): void;
}

/** A request in progress. */
export interface TargetExchange {
    /** Ends the request: withdraws it if it was not sent, or else closes its connection. No receiver is called. */
    cancel(): void;
    pause(): void;
    resume(): void;
}

/** Connections to all targets. Addresses are `IP:PORT`. */
export interface TargetConnections {
    send(address: string, request: TargetRequest, receiver: AnswerReceiver): TargetExchange;
    /** Closes the idle connections to an address; requests in progress there go on. */
    renew(address: string): void;
}

/** Returns whether nothing listens at the address, as opposed to a connection that is slow or was cut. */
export function isRefusedConnection(error: Error): boolean {
    return "code" in error && error.code === "ECONNREFUSED";
}

/** Options of the connections. */
export interface TargetConnectionOptions {
    /** Connections to one target at most. */
    readonly connectionsPerTarget: number;
    readonly connectTimeoutMilliseconds: number;
}

/** Idle connections are closed after this time unless the target states another one. */
const IDLE_TIMEOUT_MILLISECONDS = 4_000;

/** Makes the connections. */
export function createTargetConnections(options: TargetConnectionOptions): TargetConnections {
    const kept = new Agent({
        keepAlive: true,
        maxSockets: options.connectionsPerTarget,
        maxFreeSockets: options.connectionsPerTarget,
        timeout: IDLE_TIMEOUT_MILLISECONDS,
    });
    return {
        send: (address, request, receiver) => {
            const [host = "", port = ""] = address.split(":");
            const message = startRequest({
                host,
                port: Number(port),
                method: request.method,
                path: request.path,
                headers: [...request.headers, ...contentLengthOf(request)],
                agent: request.onNewConnection ? new Agent({ keepAlive: false }) : kept,
            });
            const exchange = new Exchange(message, receiver, options.connectTimeoutMilliseconds);
            message.end(request.body.length === 0 ? undefined : request.body);
            return exchange;
        },
        renew: address => {
            const [host = "", port = ""] = address.split(":");
            const name = kept.getName({ host, port: Number(port) });
            kept.freeSockets[name]?.forEach(socket => socket.destroy());
        },
    };
}

function contentLengthOf({ method, body }: TargetRequest): HeaderList {
    const mayHaveNone = body.length === 0 && (method === "GET" || method === "HEAD");
    return mayHaveNone ? [] : ["Content-Length", String(body.length)];
}

function isDelimited(status: number, headers: IncomingHttpHeaders): boolean {
    const hasBody = status !== 204 && status !== 304;
    return !hasBody || headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}

class Exchange implements TargetExchange {
    private answer: IncomingMessage | undefined;
    private done = false;

    constructor(
        private readonly message: ClientRequest,
        private readonly receiver: AnswerReceiver,
        private readonly connectTimeoutMilliseconds: number,
    ) {
        message.on("socket", socket => this.watchConnecting(socket));
        message.on("response", answer => this.receive(answer));
        message.on("error", error => this.finish(() => receiver.failed(error)));
        message.on("close", () => this.finish(() => receiver.failed(new Error("The connection closed."))));
    }

    cancel(): void {
        this.done = true;
        this.message.destroy();
    }

    pause(): void {
        this.answer?.pause();
    }

    resume(): void {
        this.answer?.resume();
    }

    private watchConnecting(socket: Socket): void {
        if (this.done) {
            return;
        }
        if (!socket.connecting) {
            this.receiver.sent();
            return;
        }
        const timer = setTimeout(
            () => this.message.destroy(new Error("The target did not accept a connection in time.")),
            this.connectTimeoutMilliseconds,
        );
        socket.once("connect", () => {
            clearTimeout(timer);
            if (!this.done) {
                this.receiver.sent();
            }
        });
        socket.once("close", () => clearTimeout(timer));
    }

    private receive(answer: IncomingMessage): void {
        if (this.done) {
            answer.destroy();
            return;
        }
        this.answer = answer;
        const { statusCode: status = 0, headers } = answer;
        this.receiver.head({ status, headers, delimited: isDelimited(status, headers) });
        answer.on("data", (chunk: Buffer) => {
            if (!this.done) {
                this.receiver.data(chunk);
            }
        });
        answer.on("error", error => this.finish(() => this.receiver.failed(error)));
        answer.on(
            "end",
            () =>
                this.finish(() =>
                    answer.complete
                        ? this.receiver.ended()
                        : this.receiver.failed(new Error("The answer is not whole."))
                ),
        );
    }

    private finish(notify: () => void): void {
        if (!this.done) {
            this.done = true;
            notify();
        }
    }
}
