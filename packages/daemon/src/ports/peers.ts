/** Port to the other daemons. */
import type { PeerMessage } from "../messages.js";

/** Link state of one peer. */
export interface PeerLink {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly connected: boolean;
}

/** Messages to and from other daemons. Delivery is not guaranteed; messages of one connected peer arrive in order. */
export interface PeerNetwork {
    /** Returns false when there is no open link to the peer. */
    send(daemon: string, message: PeerMessage): boolean;
    /** Registers the handler for messages of one kind. */
    onMessage<Kind extends PeerMessage["kind"]>(
        kind: Kind,
        receiver: (from: string, message: Extract<PeerMessage, { kind: Kind; }>) => void,
    ): void;
    /** Opens a link to a peer address (`ws://IP:PORT`) and reconnects when it is lost. */
    connect(address: string): void;
    links(): readonly PeerLink[];
}
