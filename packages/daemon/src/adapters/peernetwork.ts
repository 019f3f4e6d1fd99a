/** Links to other daemons: WebSocket with msgpack, and a shared secret that is checked at the upgrade. */
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

/** Path of the upgrade. */
export const PEER_PATH = "/peer";
const HEARTBEAT_MILLISECONDS = 500;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 2_000;
const FIRST_BACKOFF_MILLISECONDS = 200;
const MAXIMUM_BACKOFF_MILLISECONDS = 5_000;

/** What the network needs. */
export interface PeerNetworkOptions {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly incarnation: string;
    readonly secret: string;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly eventLog: EventLog;
    /** Seed of the jitter of reconnects. */
    readonly seed: number;
}

interface Dial {
    readonly address: string;
    attempts: number;
    socket?: PeerSocket;
    timer?: NodeJS.Timeout;
    /** Daemon that last answered at the address. */
    daemon?: string;
}

type Receiver = (from: string, message: PeerMessage) => void;

/**
 * Peer network over WebSocket. When both sides of a pair dial, both keep the link that the daemon with the smaller
 * name dialled; a later link from the same side replaces the earlier one, which the other side has given up.
 */
export class WebSocketPeerNetwork implements PeerNetwork {
    private readonly server = new WebSocketServer({
        noServer: true,
        maxPayload: MAXIMUM_MESSAGE_BYTES,
        perMessageDeflate: PEER_COMPRESSION,
    });
    private readonly generator;
    private readonly sockets = new Set<PeerSocket>();
    private readonly open = new Map<string, PeerSocket>();
    private readonly dials = new Map<string, Dial>();
    private readonly receivers = new Map<string, Receiver[]>();
    private readonly heartbeat: NodeJS.Timeout;
    private beatAt: number;
    private closed = false;

    constructor(private readonly options: PeerNetworkOptions) {
        this.generator = xorshift128plus(options.seed);
        this.beatAt = options.clock.monotonic();
        this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MILLISECONDS);
    }

    /** Accepts links on the upgrades of a server. Other paths are refused. */
    attach(server: Server): void {
        server.on("upgrade", (request, socket, head) => this.upgrade(request, socket, head));
    }

    send(daemon: string, message: PeerMessage): boolean {
        return this.open.get(daemon)?.send(message) ?? false;
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

    /** Stops dialling an address. An open link stays as long as the peer keeps it. */
    disconnect(address: string): void {
        clearTimeout(this.dials.get(address)?.timer);
        this.dials.delete(address);
    }

    links(): readonly PeerLink[] {
        return [...this.open.values()].flatMap(({ peer }) =>
            peer === undefined ? [] : [{ daemon: peer.daemon, dataCentre: peer.dataCentre, connected: true }]
        );
    }

    /** Ends all links. The server that upgrades came from stays open. */
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
        this.server.handleUpgrade(request, socket, head, webSocket => this.adopt(webSocket));
    }

    private dial(dial: Dial): void {
        const webSocket = new WebSocket(`${dial.address}${PEER_PATH}`, {
            headers: { authorization: `Bearer ${this.options.secret}` },
            handshakeTimeout: HANDSHAKE_TIMEOUT_MILLISECONDS,
            maxPayload: MAXIMUM_MESSAGE_BYTES,
            perMessageDeflate: PEER_COMPRESSION,
        });
        dial.attempts += 1;
        dial.socket = this.adopt(webSocket, dial.address);
    }

    private adopt(webSocket: WebSocket, dialled?: string): PeerSocket {
        const link = new PeerSocket(webSocket, dialled, this.handlers, this.options.clock.monotonic());
        const greet = () => {
            const { daemon, dataCentre, incarnation } = this.options;
            link.send({ kind: "hello", protocol: PEER_PROTOCOL, daemon, dataCentre, incarnation });
        };
        const heard = () => link.heard(this.options.clock.monotonic());
        webSocket.on("open", greet);
        ["message", "ping", "pong", "open"].forEach(event => webSocket.on(event, heard));
        this.sockets.add(link);
        if (webSocket.readyState === WebSocket.OPEN) {
            greet();
        }
        return link;
    }

    private readonly handlers: LinkHandlers = {
        hello: (link, hello) => this.greeted(link, hello),
        message: (link, from, message) => {
            if (this.open.get(from.daemon) === link) {
                this.receivers.get(message.kind)?.forEach(receiver => receiver(from.daemon, message));
            }
        },
        refused: (link, reason) => {
            this.options.metrics.increment("peers.messages_refused", 1, { reason });
            this.options.eventLog.emit("peerMessageRefused", { peer: link.peer?.daemon, reason });
        },
        closed: link => this.ended(link),
    };

    private greeted(link: PeerSocket, hello: Hello): void {
        const dial = link.dialled === undefined ? undefined : this.dials.get(link.dialled);
        if (hello.protocol !== PEER_PROTOCOL || hello.daemon === this.options.daemon) {
            this.options.metrics.increment("peers.refused", 1, { reason: "hello" });
            link.close(1002, "protocol or name refused");
            return;
        }
        if (dial !== undefined) {
            dial.attempts = 0;
            dial.daemon = hello.daemon;
        }
        const held = this.open.get(hello.daemon);
        if (held !== undefined && !this.replaces(link, hello, held)) {
            link.close(1000, "another link is open");
            return;
        }
        this.open.set(hello.daemon, link);
        held?.close(1000, "replaced by another link");
        if (held === undefined) {
            this.options.eventLog.emit("peerConnected", { peer: hello.daemon, peerDataCentre: hello.dataCentre });
        }
        this.options.metrics.gauge("peers.links", this.open.size);
    }

    private replaces(link: PeerSocket, hello: Hello, held: PeerSocket): boolean {
        const sameDialler = (link.dialled === undefined) === (held.dialled === undefined);
        const dialler = link.dialled === undefined ? hello.daemon : this.options.daemon;
        const other = link.dialled === undefined ? this.options.daemon : hello.daemon;
        return held.peer?.incarnation !== hello.incarnation || sameDialler || dialler < other;
    }

    private ended(link: PeerSocket): void {
        this.sockets.delete(link);
        const daemon = link.peer?.daemon;
        if (daemon !== undefined && this.open.get(daemon) === link) {
            this.open.delete(daemon);
            this.options.eventLog.emit("peerDisconnected", { peer: daemon });
            this.options.metrics.gauge("peers.links", this.open.size);
        }
        this.dials.forEach(dial => {
            if (dial.socket === link) {
                dial.socket = undefined;
            }
            this.redial(dial);
        });
    }

    /** Schedules the next attempt of a dial that has neither a socket nor another open link to the same daemon. */
    private redial(dial: Dial): void {
        const linked = dial.daemon !== undefined && this.open.has(dial.daemon);
        if (this.closed || dial.socket !== undefined || dial.timer !== undefined || linked) {
            return;
        }
        const longest = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** dial.attempts);
        dial.timer = setTimeout(() => {
            dial.timer = undefined;
            this.dial(dial);
        }, uniformInt(this.generator, longest / 2, longest));
    }

    private beat(): void {
        const now = this.options.clock.monotonic();
        // After a pause of this process the silence is its own; data may wait unread in the sockets.
        const paused = now - this.beatAt > 2 * HEARTBEAT_MILLISECONDS;
        this.beatAt = now;
        [...this.sockets].forEach(socket => paused ? socket.heard(now) : socket.beat(now));
    }
}
