import { expect } from "chai";
import type { PeerMessage } from "../../messages.js";
import type { PeerNetwork } from "../../ports/peers.js";
import { createPeerRequests } from "../../tasks/peerrequests.js";
import { createPublished } from "../../tasks/published.js";
import { handlePeerRequests } from "../peers.js";
import { fetchDaemonStatus, type StatusSources } from "../status.js";

type AnyReceiver = (from: string, message: PeerMessage) => void;

const names = ["a", "b", "c"];
const centreOf = (daemon: string): string => daemon === "a" ? "x" : "y";
const codeOf = (daemon: string): number => daemon.charCodeAt(0);

/** Network of three daemons in a row: a is linked to b, and b to c. */
function networkOf(own: string, receivers: Map<string, AnyReceiver>): PeerNetwork {
    const near = names.filter(name => Math.abs(codeOf(name) - codeOf(own)) === 1);
    return {
        send: (daemon, message) => {
            const receiver = near.includes(daemon) ? receivers.get(`${daemon} ${message.kind}`) : undefined;
            setImmediate(() => receiver?.(own, message));
            return near.includes(daemon);
        },
        receive: (kind, receiver) => {
            receivers.set(`${own} ${kind}`, receiver as AnyReceiver);
        },
        connect: () => undefined,
        links: () => near.map(daemon => ({ daemon, dataCentre: centreOf(daemon), connected: true })),
    };
}

function sourcesOf(daemon: string, receivers: Map<string, AnyReceiver>): StatusSources {
    const network = networkOf(daemon, receivers);
    const newsOf = (name: string) => ({ daemon: name, dataCentre: centreOf(name), address: name, incarnation: "1" });
    const others = names.filter(name => name !== daemon).map(name => ({
        info: { ...newsOf(name), revision: 0, state: "alive" as const },
        demand: {},
        models: [],
    }));
    const self = { ...newsOf(daemon), revision: 0, state: "alive" as const };
    return {
        daemon,
        dataCentre: centreOf(daemon),
        incarnation: "1",
        clock: { monotonic: () => 0, wall: () => 0 },
        state: () => "ready",
        table: createPublished({ nextOffset: codeOf(daemon) } as never),
        streams: () => [],
        members: createPublished({ self, live: [], others }),
        network,
        questions: createPeerRequests(network),
        hosts: createPublished({ hosts: new Map() }),
        observations: createPublished(new Map()),
        groups: () => [],
        requestsInProgress: () => 0,
    };
}

describe("status of a daemon without a link", () => {
    it("comes from that daemon, not from the one that passes the question on", async () => {
        const receivers = new Map<string, AnyReceiver>();
        const [asking] = names.map(name => {
            const sources = sourcesOf(name, receivers);
            handlePeerRequests(sources.network, sources, () => undefined);
            return sources;
        });

        const status = await fetchDaemonStatus(asking!, "c");

        expect(status).to.include({ daemon: "c", configurationOffset: codeOf("c") });
    });
});
