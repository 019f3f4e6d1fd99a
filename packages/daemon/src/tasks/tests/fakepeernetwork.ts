/** Fake peer network: delivers messages between daemons after a delay, unless the pair is partitioned. */
import { Packr } from "msgpackr";
import { type PeerMessage, peerMessageSchema } from "../../messages.js";
import type { LinkedNetwork } from "../memberlinks.js";

const packr = new Packr({ useRecords: false });

/** A daemon on the fake network. */
export interface FakePeer {
    readonly daemon: string;
    readonly dataCentre: string;
    readonly network: LinkedNetwork;
}

/** Network of all daemons of a test. Addresses are daemon names. */
export class FakePeerNetwork {
    /** Returns whether a pair of daemons is partitioned. */
    isPartitioned: (one: string, other: string) => boolean = () => false;
    /** Paused daemons. Their messages wait, as in the buffers of their sockets. */
    readonly paused = new Set<string>();
    delayMilliseconds = 1;
    bytes = 0;
    private readonly nodes = new Map<string, FakePeer>();
    private readonly receivers = new Map<string, ((from: string, message: PeerMessage) => void)[]>();
    private readonly links = new Set<string>();

    join(daemon: string, dataCentre: string): FakePeer {
        const network: LinkedNetwork = {
            send: (to, message) => this.send(daemon, to, message),
            onMessage: (kind, receiver) => {
                const key = `${daemon} ${kind}`;
                const receivers = this.receivers.get(key) ?? [];
                this.receivers.set(key, [...receivers, receiver as (from: string, message: PeerMessage) => void]);
            },
            connect: address => this.links.add(pair(daemon, address.slice("ws://".length))),
            disconnect: () => undefined,
            links: () =>
                [...this.nodes.values()]
                    .filter(node => node.daemon !== daemon && this.isOpen(daemon, node.daemon))
                    .map(node => ({ daemon: node.daemon, dataCentre: node.dataCentre, connected: true })),
        };
        const node = { daemon, dataCentre, network };
        ["probe", "acknowledge"].forEach(kind => this.receivers.delete(`${daemon} ${kind}`));
        this.nodes.set(daemon, node);
        return node;
    }

    private isOpen(one: string, other: string): boolean {
        return this.links.has(pair(one, other)) && !this.isPartitioned(one, other);
    }

    private send(from: string, to: string, message: PeerMessage): boolean {
        if (!this.isOpen(from, to)) {
            return false;
        }
        const packed = packr.pack(message);
        this.bytes += packed.length;
        const parsed = peerMessageSchema.parse(packr.unpack(packed));
        const deliver = (): void => {
            if (this.paused.has(to)) {
                setTimeout(deliver, 50);
            }
            else if (!this.isPartitioned(from, to)) {
                this.receivers.get(`${to} ${parsed.kind}`)?.forEach(receiver => receiver(from, parsed));
            }
        };
        setTimeout(deliver, this.delayMilliseconds);
        return true;
    }
}

function pair(one: string, other: string): string {
    return [one, other].toSorted().join(" ");
}
