/** Fake network between daemons. */
import type { PeerMessage, PeerNetwork } from "@damaskvale/daemon";

type Receiver = (from: string, message: PeerMessage) => void;

const LATENCY_MILLISECONDS = 1;

/** Network of a scenario. The link of two attached daemons is open unless one of them is cut off. */
export class FakeNetwork {
    private readonly receivers = new Map<string, Map<string, Receiver[]>>();
    private readonly cutOff = new Set<string>();

    /** Attaches a daemon and replaces an earlier process with the same name. */
    attach(daemon: string): PeerNetwork {
        const kinds = new Map<string, Receiver[]>();
        this.receivers.set(daemon, kinds);
        return {
            send: (to, message) => {
                if (this.receivers.get(daemon) !== kinds || !this.isOpen(daemon, to)) {
                    return false;
                }
                setTimeout(() => {
                    if (this.isOpen(daemon, to)) {
                        this.receivers.get(to)?.get(message.kind)?.forEach(receive => receive(daemon, message));
                    }
                }, LATENCY_MILLISECONDS);
                return true;
            },
            onMessage: (kind, receiver) => {
                kinds.set(kind, [...kinds.get(kind) ?? [], receiver as Receiver]);
            },
            connect: () => undefined,
            links: () =>
                [...this.receivers.keys()].filter(name => name !== daemon).map(name => ({
                    daemon: name,
                    dataCentre: "a",
                    connected: this.isOpen(daemon, name),
                })),
        };
    }

    detach(daemon: string): void {
        this.receivers.delete(daemon);
    }

    setCutOff(daemon: string, isCutOff: boolean): void {
        if (isCutOff) {
            this.cutOff.add(daemon);
        }
        else {
            this.cutOff.delete(daemon);
        }
    }

    isOpen(one: string, other: string): boolean {
        return this.receivers.has(one) && this.receivers.has(other)
            && !this.cutOff.has(one) && !this.cutOff.has(other);
    }
}
