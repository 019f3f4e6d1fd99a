import { expect } from "chai";
import type { PeerMessage } from "../../messages.js";
import type { PeerNetwork } from "../../ports/peers.js";
import { createPeerRequests } from "../../tasks/peerrequests.js";
import { createPublished } from "../../tasks/published.js";
import { handlePeerRequests } from "../peers.js";
import { fetchDaemonStatus, type StatusSources } from "../status.js";

type AnyReceiver = (from: string, message: PeerMessage) => void;

const daemons = ["a", "b", "c"];
const dataCentreOf = (daemon: string): string => daemon === "a" ? "x" : "y";
const characterCodeOf = (daemon: string): number => daemon.charCodeAt(0);

/** Creates the network of one of three daemons in a line: a is linked to b, and b to c. */
function createNetwork(own: string, receivers: Map<string, AnyReceiver>): PeerNetwork {
    const neighbours = daemons.filter(name => Math.abs(characterCodeOf(name) - characterCodeOf(own)) === 1);
    return {
        send: (daemon, message) => {
            const receiver = neighbours.includes(daemon) ? receivers.get(`${daemon} ${message.kind}`) : undefined;
            setImmediate(() => receiver?.(own, message));
            return neighbours.includes(daemon);
        },
        onMessage: (kind, receiver) => {
            receivers.set(`${own} ${kind}`, receiver as AnyReceiver);
        },
        connect: () => undefined,
        links: () => neighbours.map(daemon => ({ daemon, dataCentre: dataCentreOf(daemon), connected: true })),
    };
}

function createSources(daemon: string, receivers: Map<string, AnyReceiver>): StatusSources {
    const network = createNetwork(daemon, receivers);
    const memberOf = (name: string) => ({
        daemon: name,
        dataCentre: dataCentreOf(name),
        address: name,
        incarnation: "1",
    });
    const others = daemons.filter(name => name !== daemon).map(name => ({
        info: { ...memberOf(name), revision: 0, state: "alive" as const },
        demand: {},
        models: [],
    }));
    const self = { ...memberOf(daemon), revision: 0, state: "alive" as const };
    return {
        daemon,
        dataCentre: dataCentreOf(daemon),
        incarnation: "1",
        clock: { monotonic: () => 0, wall: () => 0 },
        state: () => "ready",
        table: createPublished({ nextOffset: characterCodeOf(daemon) } as never),
        streams: () => [],
        members: createPublished({ self, live: [], others }),
        network,
        peerRequests: createPeerRequests(network),
        hosts: createPublished({ hosts: new Map() }),
        observations: createPublished(new Map()),
        groups: () => [],
        requestsInProgress: () => 0,
    };
}

describe("status of a daemon without a link", () => {
    it("comes from that daemon, not from the daemon that relays the request", async () => {
        const receivers = new Map<string, AnyReceiver>();
        const [requester] = daemons.map(name => {
            const sources = createSources(name, receivers);
            handlePeerRequests(sources.network, sources, () => undefined);
            return sources;
        });

        const status = await fetchDaemonStatus(requester!, "c");

        expect(status).to.include({ daemon: "c", configurationOffset: characterCodeOf("c") });
    });
});
