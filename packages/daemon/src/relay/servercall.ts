/** Calls of the daemon itself, to the store and to engines: sends a request and resolves with the complete response. */
import type { IncomingHttpHeaders } from "node:http";
import { createGrowingBuffer } from "../growingbuffer.js";
import type { ResponseHead } from "../ports/relayprotocol.js";
import { TimeoutError } from "../tasks/withtimeout.js";
import type { ResponseReceiver, TargetConnections, TargetExchange, TargetRequest } from "./targetconnections.js";

/** A call to the server at an address, `IP:PORT`. */
export interface ServerCall extends TargetRequest {
    readonly address: string;
    /** Time for the whole exchange; its connection is closed when it ends. */
    readonly timeoutMilliseconds: number;
    /** Size of the largest body of a response; the call fails at a larger one. */
    readonly maximumBodyBytes: number;
    /** Cancels the call. */
    readonly signal?: AbortSignal;
}

/** A complete response. */
export interface CompleteResponse {
    readonly status: number;
    readonly headers: IncomingHttpHeaders;
    readonly body: Buffer;
}

/** Makes a call. Rejects if there is no complete response in time, if its body is too large, or if it is cancelled. */
export function callServer(connections: Pick<TargetConnections, "send">, call: ServerCall): Promise<CompleteResponse> {
    const { address, timeoutMilliseconds, maximumBodyBytes, signal } = call;
    return new Promise((resolve, reject) => {
        if (signal?.aborted) {
            reject(signal.reason as Error);
            return;
        }
        const body = createGrowingBuffer();
        let head: ResponseHead | undefined;
        let exchange: TargetExchange | undefined;
        const end = (settle: () => void): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", abort);
            settle();
        };
        const cancel = (error: Error): void =>
            end(() => {
                exchange?.cancel();
                reject(error);
            });
        const abort = (): void => cancel(signal?.reason as Error);
        const timer = setTimeout(() => cancel(new TimeoutError(timeoutMilliseconds)), timeoutMilliseconds);
        const cancelIfTooLong = (bytes: number): boolean => {
            const isTooLong = bytes > maximumBodyBytes;
            if (isTooLong) {
                cancel(new Error(`The body of the response is longer than ${maximumBodyBytes} bytes.`));
            }
            return isTooLong;
        };
        const request = { ...call, headers: ["Host", address, ...call.headers] };
        const receiver: ResponseReceiver = {
            sent: () => undefined,
            head: received => {
                head = received;
                cancelIfTooLong(Number(received.headers["content-length"] ?? 0));
            },
            data: chunk => {
                if (!cancelIfTooLong(body.length() + chunk.length)) {
                    body.append(chunk);
                }
            },
            ended: () =>
                end(() => resolve({ status: head?.status ?? 0, headers: head?.headers ?? {}, body: body.take() })),
            failed: error => end(() => reject(error)),
        };
        try {
            exchange = connections.send(address, request, receiver);
        }
        catch (error) {
            // No connection can be opened to the address, or a header cannot be sent.
            end(() => reject(error as Error));
            return;
        }
        signal?.addEventListener("abort", abort);
    });
}
