/** Connections to targets, and one request over one of them. */
import { buildConnector, Client, type Dispatcher, Pool } from "undici";
import type { AnswerHead, HeaderList } from "../ports/relayprotocol.js";

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
    head(head: AnswerHead): void;
    data(chunk: Buffer): void;
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

/** Connections to all targets. */
export interface TargetConnections {
    send(address: string, request: TargetRequest, receiver: AnswerReceiver): TargetExchange;
    /** Stops using the idle connections to an address; requests in progress there go on. */
    renew(address: string): void;
    /** Closes what is kept for addresses that are no longer used. */
    retain(addresses: ReadonlySet<string>): void;
    close(): Promise<void>;
}

/** Options of the connections. */
export interface TargetConnectionOptions {
    /** Connections to one target at most. */
    readonly connectionsPerTarget: number;
    readonly connectTimeoutMilliseconds: number;
}

/** Makes the connections. */
export function createTargetConnections(options: TargetConnectionOptions): TargetConnections {
    const pools = new Map<string, Pool>();
    const clientOptions = {
        pipelining: 1,
        connect: createConnector(options.connectTimeoutMilliseconds),
        headersTimeout: 0,
        bodyTimeout: 0,
    };

    const poolOf = (address: string): Pool => {
        const pool = pools.get(address)
            ?? new Pool(`http://${address}`, { ...clientOptions, connections: options.connectionsPerTarget });
        pools.set(address, pool);
        return pool;
    };
    const retire = (address: string): void => {
        const pool = pools.get(address);
        pools.delete(address);
        pool?.close().catch(() => undefined);
    };

    return {
        send: (address, request, receiver) => {
            if (!request.onNewConnection) {
                return dispatch(poolOf(address), request, receiver);
            }
            const client = new Client(`http://${address}`, clientOptions);
            const release = (): void => void client.destroy().catch(() => undefined);
            return dispatch(client, request, {
                ...receiver,
                ended: () => {
                    receiver.ended();
                    release();
                },
                failed: error => {
                    receiver.failed(error);
                    release();
                },
            }, release);
        },
        renew: retire,
        retain: addresses => [...pools.keys()].filter(address => !addresses.has(address)).forEach(retire),
        close: async () => {
            const all = [...pools.values()];
            pools.clear();
            await Promise.all(all.map(pool => pool.destroy()));
        },
    };
}

/**
 * Connects and renames resets. undici takes a reset for the regular end of an answer without a length on a connection
 * that is not kept; such an answer would be passed on as whole although it was cut.
 */
function createConnector(timeout: number): buildConnector.connector {
    const connect = buildConnector({ timeout });
    return (options, callback) =>
        connect(options, (...result) => {
            const [, socket] = result;
            socket?.on("error", (error: NodeJS.ErrnoException) => {
                if (error.code === "ECONNRESET") {
                    error.code = "ECONNABORTED";
                }
            });
            callback(...result);
        });
}

function dispatch(
    dispatcher: Dispatcher,
    request: TargetRequest,
    receiver: AnswerReceiver,
    cancelled?: () => void,
): TargetExchange {
    let controller: Dispatcher.DispatchController | undefined;
    let done = false;
    const finish = (notify: () => void): void => {
        if (!done) {
            done = true;
            notify();
        }
    };
    const abort = (): void => controller?.abort(new Error("The request was cancelled."));

    dispatcher.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: [...request.headers],
        body: request.body.length === 0 ? undefined : request.body,
        reset: request.onNewConnection,
    }, {
        onRequestStart: started => {
            controller = started;
            if (done) {
                abort();
                return;
            }
            receiver.sent();
        },
        onResponseStart: (...[, status, headers]) => {
            if (!done && status >= 200) {
                receiver.head({ status, headers });
            }
        },
        onResponseData: (...[, chunk]) => {
            if (!done) {
                receiver.data(chunk);
            }
        },
        onResponseEnd: () => finish(() => receiver.ended()),
        onResponseError: (...[, error]) => finish(() => receiver.failed(error)),
    });
    return {
        cancel: () => {
            if (!done) {
                done = true;
                abort();
                cancelled?.();
            }
        },
        pause: () => controller?.pause(),
        resume: () => controller?.resume(),
    };
}
