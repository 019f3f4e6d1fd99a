/** Fake of the links between daemons. */
import type { PeerMessage, PeerNetwork } from "@damaskvale/daemon";

type Receiver = (from: string, message: PeerMessage) => void;

const PASS_MILLISECONDS = 1;

/** Links of a scenario. A link is open unless one of its ends is cut off. */
export class FakeNetwork {
    private readonly receivers = new Map<string, Map<string, Receiver[]>>();
    private readonly cutOff = new Set<string>();

    /** Attaches a daemon, in place of an earlier process with the same name. */
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
                }, PASS_MILLISECONDS);
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
