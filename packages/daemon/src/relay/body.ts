/** Reads a caller's request into memory, within the limits of the configuration. */
import type { CallerLimits } from "@damaskvale/core";
import type { IncomingMessage } from "node:http";
import { createBodyBuffer } from "../callers/bodybuffer.js";
import { callerConnectionOf } from "../callers/callerconnection.js";

/** Limits on the size of a request. */
export type RequestLimits = Pick<CallerLimits, "headerBytes" | "bodyBytes">;

/** The body, or the reason why it could not be read. */
export type BodyResult =
    | { readonly kind: "whole"; readonly body: Buffer; }
    | { readonly kind: "header-too-large" | "body-too-large"; }
    /** There is no memory for the body, because other callers use it. */
    | { readonly kind: "overloaded"; }
    /** The connection was closed before the end of the request. */
    | { readonly kind: "cut"; };

/** Colon and space after a name, or the end of a line after a value. */
const HEADER_SEPARATOR_BYTES = 2;

/** Limits on a request whose sender has no configured ones, by who sends it. */
export const UNCONFIGURED_LIMITS = {
    /** A caller while this daemon has no configuration: its request is refused unless one arrives meanwhile. */
    caller: { headerBytes: Number.POSITIVE_INFINITY, bodyBytes: 1_048_576 },
    /** Another daemon, which has applied the limits of its own configuration. */
    daemon: { headerBytes: Number.POSITIVE_INFINITY, bodyBytes: 67_108_864 },
} as const satisfies Record<string, RequestLimits>;

/** Bytes around the body, such as a chunk's size, that a sender may send before the next byte of the body. */
const MAXIMUM_FRAMING_BYTES = 65_536;
const FRAMING_CHECK_MILLISECONDS = 1_000;

/** Reads the body of a request, unless its head or its body exceeds a limit. */
export async function readWithinLimits(message: IncomingMessage, limits: RequestLimits): Promise<BodyResult> {
    return headerBytesOf(message.rawHeaders) > limits.headerBytes
        ? { kind: "header-too-large" }
        : readBody(message, limits.bodyBytes);
}

function headerBytesOf(rawHeaders: readonly string[]): number {
    return rawHeaders.reduce((sum, text) => sum + text.length + HEADER_SEPARATOR_BYTES, 0);
}

function readBody(request: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
    return new Promise(resolve => new BodyReader(request, maximumBytes, resolve).start());
}

class BodyReader {
    private readonly body = createBodyBuffer();
    private readonly connection;
    private bytesRead: number;
    private isEnded = false;
    /** Piece for which there is no room yet. */
    private waiting: Buffer | undefined;
    private framingCheck: NodeJS.Timeout | undefined;

    constructor(
        private readonly request: IncomingMessage,
        private readonly maximumBytes: number,
        private readonly resolve: (result: BodyResult) => void,
    ) {
        this.connection = callerConnectionOf(request.socket);
        this.bytesRead = request.socket.bytesRead;
    }

    start(): void {
        const { request } = this;
        // The parser reports no bytes that belong to no body, for example the leading zeros of a chunk's size.
        if (request.headers["transfer-encoding"] !== undefined) {
            this.framingCheck = setInterval(() => this.checkFraming(), FRAMING_CHECK_MILLISECONDS).unref();
        }
        request.on("data", (chunk: Buffer) => this.receive(chunk));
        request.on("end", () => this.complete());
        request.on("error", () => this.end({ kind: "cut" }));
        request.on("close", () => this.end({ kind: "cut" }));
        this.connection?.onDecision(request, decision => {
            if (decision === "retry") {
                this.retry();
                return;
            }
            this.end({ kind: "overloaded" });
        });
        if (Number(request.headers["content-length"] ?? 0) > this.maximumBytes) {
            this.end({ kind: "body-too-large" });
        }
    }

    private receive(chunk: Buffer): void {
        this.bytesRead = this.request.socket.bytesRead;
        if (this.isEnded) {
            return;
        }
        if (this.body.length() + chunk.length > this.maximumBytes) {
            this.end({ kind: "body-too-large" });
            return;
        }
        const capacity = this.body.capacityWith(chunk.length);
        const reservation = this.connection?.reserveBody(this.request, capacity) ?? "granted";
        if (this.isEnded) {
            // The reservation was the one that there was no room for.
            return;
        }
        if (reservation === "refused") {
            this.end({ kind: "overloaded" });
            return;
        }
        if (reservation === "wait") {
            this.waiting = chunk;
            this.connection?.setWaiting(this.request, true);
            this.request.pause();
            return;
        }
        this.body.append(chunk);
        this.connection?.recordBody(this.request, chunk.length);
    }

    private retry(): void {
        const chunk = this.waiting;
        if (chunk === undefined) {
            return;
        }
        this.waiting = undefined;
        this.receive(chunk);
        if (this.waiting === undefined) {
            this.connection?.setWaiting(this.request, false);
            this.request.resume();
        }
    }

    private complete(): void {
        if (!this.isEnded) {
            const body = this.body.take();
            this.connection?.completeBody(this.request, body.length);
            this.end({ kind: "whole", body });
        }
    }

    private end(result: BodyResult): void {
        if (this.isEnded) {
            return;
        }
        this.isEnded = true;
        clearInterval(this.framingCheck);
        this.body.clear();
        if (this.waiting !== undefined) {
            this.waiting = undefined;
            this.connection?.setWaiting(this.request, false);
            this.request.resume();
        }
        if (result.kind !== "whole") {
            this.connection?.releaseBody(this.request, result.kind);
        }
        this.resolve(result);
    }

    private checkFraming(): void {
        if (this.request.socket.bytesRead - this.bytesRead > MAXIMUM_FRAMING_BYTES) {
            this.end({ kind: "body-too-large" });
        }
    }
}
