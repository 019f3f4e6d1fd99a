/** One WebSocket link to another daemon: codec, checks of what arrives, and a heartbeat. */
import { Packr } from "msgpackr";
import type { WebSocket } from "ws";
import { type PeerMessage, peerMessageSchema } from "../messages.js";

/** A link that has received nothing for this long is pinged. */
export const PING_AFTER_MILLISECONDS = 1_000;
/** A link that has received nothing for this long, pongs included, is closed. */
export const SILENCE_TIMEOUT_MILLISECONDS = 3_000;
/** Bytes that may wait in a link. Above that its messages are dropped, because the peer does not keep up. */
export const MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;
/** Largest message that is accepted; entries and states of a stream are the largest ones. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

/**
 * Compression over the messages of a link, which repeat most of their content. The window holds several messages of a
 * data centre with 60 hosts; with these sizes a link takes about 130 KiB of zlib state.
 */
export const PEER_COMPRESSION = {
    threshold: 128,
    serverMaxWindowBits: 14,
    clientMaxWindowBits: 14,
    zlibDeflateOptions: { level: 3, memLevel: 6 },
};

/** Greeting that identifies a daemon on a link. */
export type Hello = Extract<PeerMessage, { kind: "hello"; }>;

/** What a link tells its owner. */
export interface LinkHandlers {
    /** First message of the peer. */
    hello(link: PeerSocket, hello: Hello): void;
    message(link: PeerSocket, from: Hello, message: PeerMessage): void;
    /** Something that does not parse, or a message before the greeting; the link closes. */
    refused(link: PeerSocket, reason: "codec" | "schema" | "order"): void;
    closed(link: PeerSocket): void;
}

const packr = new Packr({ useRecords: false, mapsAsObjects: true });

/** A link, greeted or not. `dialled` is the address if this daemon opened it. */
export class PeerSocket {
    private hello: Hello | undefined;
    private heardAt: number;

    constructor(
        private readonly socket: WebSocket,
        readonly dialled: string | undefined,
        private readonly handlers: LinkHandlers,
        now: number,
    ) {
        this.heardAt = now;
        socket.on("message", data => this.receive(data as Buffer));
        socket.on("close", () => handlers.closed(this));
        // The close event follows every error and is what the owner acts on.
        socket.on("error", () => undefined);
    }

    /** The peer's greeting, once it has arrived. */
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

    /** Notes that something arrived at `now`. */
    heard(now: number): void {
        this.heardAt = now;
    }

    /** Pings a quiet link and ends a silent one; returns false if it ended the link. */
    beat(now: number): boolean {
        const quiet = now - this.heardAt;
        if (quiet >= SILENCE_TIMEOUT_MILLISECONDS) {
            this.socket.terminate();
            return false;
        }
        if (quiet >= PING_AFTER_MILLISECONDS && this.socket.readyState === this.socket.OPEN) {
            this.socket.ping();
        }
        return true;
    }

    /** Closes the link with a WebSocket status code. */
    close(code: number, reason: string): void {
        this.socket.close(code, reason);
    }

    /** Ends the link without a closing handshake. */
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
