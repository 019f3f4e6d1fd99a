/** One WebSocket link to another daemon: message codec, validation and heartbeat. */
import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import { type PeerMessage, peerMessageSchema } from "../messages.js";

/** A link is pinged after receiving nothing for this long. */
export const PING_AFTER_MILLISECONDS = 1_000;
/** A link is closed after receiving nothing, not even a pong, for this long. */
export const SILENCE_TIMEOUT_MILLISECONDS = 3_000;
/** Limit of the send buffer of a link. Messages above it are dropped, because the peer does not keep up. */
export const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Largest accepted message. The entries and the state of a stream are the largest messages. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/**
 * Compression with a context shared by all messages of a link, which repeat most of their content. The window holds
 * several messages of a data centre with 60 hosts; with these sizes a link uses about 130 KiB of zlib state.
 */
export const PEER_COMPRESSION = {
    threshold: 128,
    serverMaxWindowBits: 14,
    clientMaxWindowBits: 14,
    zlibDeflateOptions: { level: 3, memLevel: 6 },
};

/** First message on a link, which identifies the daemon. */
export type Hello = Extract<PeerMessage, { kind: "hello"; }>;

/** Callbacks of a link to its owner. */
export interface LinkHandlers {
    /** Called with the first message of the peer. */
    hello(link: PeerSocket, hello: Hello): void;
    message(link: PeerSocket, from: Hello, message: PeerMessage): void;
    /** Called for a malformed message or one out of order, such as one before the hello; the link then closes. */
    refused(link: PeerSocket, reason: "codec" | "schema" | "order"): void;
    closed(link: PeerSocket): void;
}

const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** A link, before or after the hello of the peer. `dialledAddress` is set if this daemon opened the link. */
export class PeerSocket {
    private hello: Hello | undefined;
    private lastReceivedAt: number;

    constructor(
        private readonly socket: WebSocket,
        readonly dialledAddress: string | undefined,
        private readonly handlers: LinkHandlers,
        now: number,
    ) {
        this.lastReceivedAt = now;
        socket.on("message", data => this.receive(data as Buffer));
        socket.on("close", () => handlers.closed(this));
        // A close event follows every error, and the owner handles that event.
        socket.on("error", () => undefined);
    }

    /** The hello of the peer, once received. */
    get peer(): Hello | undefined {
        return this.hello;
    }

    /** Sends a message; returns false if the link is not open or its buffer is full. */
    send(message: PeerMessage): boolean {
        if (this.socket.readyState !== this.socket.OPEN || this.socket.bufferedAmount > MAXIMUM_BUFFERED_BYTES) {
            return false;
        }
        this.socket.send(packr.pack(message));
        return true;
    }

    /** Records that data was received at `now`. */
    markReceived(now: number): void {
        this.lastReceivedAt = now;
    }

    /** Pings an idle link and terminates one past the silence timeout; returns false if it terminated the link. */
    checkLiveness(now: number): boolean {
        const silentFor = now - this.lastReceivedAt;
        if (silentFor >= SILENCE_TIMEOUT_MILLISECONDS) {
            this.socket.terminate();
            return false;
        }
        if (silentFor >= PING_AFTER_MILLISECONDS && this.socket.readyState === this.socket.OPEN) {
            this.socket.ping();
        }
        return true;
    }

    /** Closes the link with a WebSocket status code. */
    close(code: number, reason: string): void {
        this.socket.close(code, reason);
    }

    /** Closes the link without a closing handshake. */
    terminate(): void {
        this.socket.terminate();
    }

    private receive(data: Buffer): void {
        const unpacked = unpack(data);
        const parsed = peerMessageSchema.safeParse(unpacked);
        if (!parsed.success) {
            this.refuse(unpacked === undefined ? "codec" : "schema");
            return;
        }
        const message = parsed.data;
        const first = this.hello === undefined;
        if (first !== (message.kind === "hello")) {
            this.refuse("order");
            return;
        }
        if (message.kind === "hello") {
            this.hello = message;
            this.handlers.hello(this, message);
        }
        else if (this.hello !== undefined) {
            this.handlers.message(this, this.hello, message);
        }
    }

    private refuse(reason: "codec" | "schema" | "order"): void {
        this.handlers.refused(this, reason);
        this.close(1002, "message refused");
    }
}

function unpack(data: Buffer): unknown {
    try {
        return packr.unpack(data) as unknown;
    }
    catch {
        return undefined;
    }
}
