/** Links to other daemons: WebSocket with msgpack, authenticated by a shared secret during the upgrade. */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xorshift128plus } from "pure-rand/generator/xorshift128plus";
import { WebSocket, WebSocketServer } from "ws";
import { PEER_PROTOCOL, type PeerMessage } from "../messages.js";
import type { Clock } from "../ports/clock.js";
import type { EventLog } from "../ports/eventlog.js";
import type { Metrics } from "../ports/metrics.js";
import type { PeerLink, PeerNetwork } from "../ports/peers.js";
import { sameSecret } from "../secrets.js";
import { type Hello, type LinkHandlers, MAXIMUM_MESSAGE_BYTES, PEER_COMPRESSION, PeerSocket } from "./peerlink.js";

/** Path of the WebSocket upgrade. */
export const PEER_PATH = "/peer";
const HEARTBEAT_MILLISECONDS = 500;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;
const FIRST_BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 5_000;

/** Options and dependencies of the network. */
export interface PeerNetworkOptions {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly secret: string;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
    /** Seed of the jitter of the reconnect delays. */
    readonly seed: number;
}

interface Dial {
    readonly address: string;
    attempts: number;
    socket?: PeerSocket;
    timer?: NodeJS.Timeout;
    /** Daemon that last sent a hello from the address. */
    daemon?: string;
}

type Receiver = (from: string, message: PeerMessage) => void;

/**
 * Peer network over WebSocket. If both daemons of a pair dial, both keep the link that the daemon with the smaller name
 * dialled. A later link from the same side replaces the earlier one, because that side has abandoned it.
 */
export class WebSocketPeerNetwork implements PeerNetwork {
    private readonly server = new WebSocketServer({
        noServer: true,
        maxPayload: MAXIMUM_MESSAGE_BYTES,
        perMessageDeflate: PEER_COMPRESSION,
    });
    private readonly generator;
    private readonly sockets = new Set<PeerSocket>();
    private readonly openLinks = new Map<string, PeerSocket>();
    private readonly dials = new Map<string, Dial>();
    private readonly receivers = new Map<string, Receiver[]>();
    private readonly heartbeat: NodeJS.Timeout;
    private lastCheckAt: number;
    private closed = false;

    constructor(private readonly options: PeerNetworkOptions) {
        this.generator = xorshift128plus(options.seed);
        this.lastCheckAt = options.clock.monotonic();
        this.heartbeat = setInterval(() => this.checkLiveness(), HEARTBEAT_MILLISECONDS);
    }

    /** Accepts links through the upgrade requests of a server. Upgrades of other paths are refused. */
    attach(server: Server): void {
        server.on("upgrade", (request, socket, head) => this.upgrade(request, socket, head));
    }

    send(daemon: string, message: PeerMessage): boolean {
        return this.openLinks.get(daemon)?.send(message) ?? false;
    }

    onMessage<Kind extends PeerMessage["kind"]>(
        kind: Kind,
        receiver: (from: string, message: Extract<PeerMessage, { kind: Kind; }>) => void,
    ): void {
        this.receivers.set(kind, [...this.receivers.get(kind) ?? [], receiver as Receiver]);
    }

    connect(address: string): void {
        if (!this.closed && !this.dials.has(address)) {
            const dial: Dial = { address, attempts: 0 };
            this.dials.set(address, dial);
            this.dial(dial);
        }
    }

    /** Stops dialling an address. An open link stays open until the peer closes it. */
    disconnect(address: string): void {
        clearTimeout(this.dials.get(address)?.timer);
        this.dials.delete(address);
    }

    links(): readonly PeerLink[] {
        return [...this.openLinks.values()].flatMap(({ peer }) =>
            peer === undefined ? [] : [{ daemon: peer.daemon, dataCentre: peer.dataCentre, connected: true }]
        );
    }

    /** Closes all links. The attached server stays open. */
    close(): void {
        this.closed = true;
        clearInterval(this.heartbeat);
        this.dials.forEach(dial => clearTimeout(dial.timer));
        this.dials.clear();
        this.sockets.forEach(socket => socket.terminate());
        this.server.close();
    }

    private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer): void {
        const accepted = !this.closed && request.url === PEER_PATH;
        if (!accepted || !sameSecret(request.headers.authorization ?? "", `Bearer ${this.options.secret}`)) {
            this.options.metrics.increment("peers.refused", 1, { reason: accepted ? "secret" : "path" });
            this.options.eventLog.emit("peerRefused", { remote: request.socket.remoteAddress });
            socket.end(`HTTP/1.1 ${accepted ? "401 Unauthorized" : "404 Not Found"}\r\nconnection: close\r\n\r\n`);
            return;
        }
        this.server.handleUpgrade(request, socket, head, webSocket => this.createLink(webSocket));
    }

    private dial(dial: Dial): void {
        const webSocket = new WebSocket(`${dial.address}${PEER_PATH}`, {
            headers: { authorization: `Bearer ${this.options.secret}` },
            handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
            maxPayload: MAXIMUM_MESSAGE_BYTES,
            perMessageDeflate: PEER_COMPRESSION,
        });
        dial.attempts += 1;
        dial.socket = this.createLink(webSocket, dial.address);
    }

    private createLink(webSocket: WebSocket, dialledAddress?: string): PeerSocket {
        const link = new PeerSocket(webSocket, dialledAddress, this.handlers, this.options.clock.monotonic());
        const sendHello = () => {
            const { daemon, dataCentre, incarnation } = this.options;
            link.send({ kind: "hello", protocol: PEER_PROTOCOL, daemon, dataCentre, incarnation });
        };
        const markReceived = () => link.markReceived(this.options.clock.monotonic());
        webSocket.on("open", sendHello);
        ["message", "ping", "pong", "open"].forEach(event => webSocket.on(event, markReceived));
        this.sockets.add(link);
        if (webSocket.readyState === WebSocket.OPEN) {
            sendHello();
        }
        return link;
    }

    private readonly handlers: LinkHandlers = {
        hello: (link, hello) => this.handleHello(link, hello),
        message: (link, from, message) => {
            if (this.openLinks.get(from.daemon) === link) {
                this.receivers.get(message.kind)?.forEach(receiver => receiver(from.daemon, message));
            }
        },
        refused: (link, reason) => {
            this.options.metrics.increment("peers.messages_refused", 1, { reason });
            this.options.eventLog.emit("peerMessageRefused", { peer: link.peer?.daemon, reason });
        },
        closed: link => this.handleClose(link),
    };

    private handleHello(link: PeerSocket, hello: Hello): void {
        const dial = link.dialledAddress === undefined ? undefined : this.dials.get(link.dialledAddress);
        if (hello.protocol !== PEER_PROTOCOL || hello.daemon === this.options.daemon) {
            this.options.metrics.increment("peers.refused", 1, { reason: "hello" });
            link.close(1002, "protocol or name refused");
            return;
        }
        if (dial !== undefined) {
            dial.attempts = 0;
            dial.daemon = hello.daemon;
        }
        const existing = this.openLinks.get(hello.daemon);
        if (existing !== undefined && !this.shouldReplace(link, hello, existing)) {
            link.close(1000, "another link is open");
            return;
        }
        this.openLinks.set(hello.daemon, link);
        existing?.close(1000, "replaced by another link");
        if (existing === undefined) {
            this.options.eventLog.emit("peerConnected", { peer: hello.daemon, peerDataCentre: hello.dataCentre });
        }
        this.options.metrics.gauge("peers.links", this.openLinks.size);
    }

    private shouldReplace(link: PeerSocket, hello: Hello, existing: PeerSocket): boolean {
        const sameDialler = (link.dialledAddress === undefined) === (existing.dialledAddress === undefined);
        const dialler = link.dialledAddress === undefined ? hello.daemon : this.options.daemon;
        const other = link.dialledAddress === undefined ? this.options.daemon : hello.daemon;
        return existing.peer?.incarnation !== hello.incarnation || sameDialler || dialler < other;
    }

    private handleClose(link: PeerSocket): void {
        this.sockets.delete(link);
        const daemon = link.peer?.daemon;
        if (daemon !== undefined && this.openLinks.get(daemon) === link) {
            this.openLinks.delete(daemon);
            this.options.eventLog.emit("peerDisconnected", { peer: daemon });
            this.options.metrics.gauge("peers.links", this.openLinks.size);
        }
        this.dials.forEach(dial => {
            if (dial.socket === link) {
                dial.socket = undefined;
            }
            this.redial(dial);
        });
    }

    /** Schedules the next attempt of a dial without a socket, unless another link to the same daemon is open. */
    private redial(dial: Dial): void {
        const linked = dial.daemon !== undefined && this.openLinks.has(dial.daemon);
        if (this.closed || dial.socket !== undefined || dial.timer !== undefined || linked) {
            return;
        }
        const maximumDelay = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** dial.attempts);
        dial.timer = setTimeout(() => {
            dial.timer = undefined;
            this.dial(dial);
        }, uniformInt(this.generator, maximumDelay / 2, maximumDelay));
    }

    private checkLiveness(): void {
        const now = this.options.clock.monotonic();
        // After a pause of this process, the missing data may be waiting unread in the sockets, so no link is closed.
        const paused = now - this.lastCheckAt > 2 * HEARTBEAT_MILLISECONDS;
        this.lastCheckAt = now;
        [...this.sockets].forEach(socket => paused ? socket.markReceived(now) : socket.checkLiveness(now));
    }
}
