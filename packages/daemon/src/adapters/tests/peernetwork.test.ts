import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { WebSocket } from "ws";
import type { PeerMessage } from "../../messages.js";
import { PEER_PATH, WebSocketPeerNetwork } from "../peernetwork.js";

const secret = "secret-of-the-test-1";
const clock = { monotonic: () => performance.now(), wall: () => Date.now() };
const probe: PeerMessage = { kind: "probe", sequence: 1, sentAt: 1, members: [], offsets: {}, demand: {} };

interface Node {
    readonly network: WebSocketPeerNetwork;
    readonly server: Server;
    readonly address: string;
    readonly counted: string[];
    readonly logged: string[];
    readonly received: string[];
}

async function node(daemon: string): Promise<Node> {
    const counted: string[] = [];
    const logged: string[] = [];
    const received: string[] = [];
    const network = new WebSocketPeerNetwork({
        daemon,
        dataCentre: "dc",
        incarnation: "1",
        secret,
        clock,
        metrics: {
            increment: (...[name, , tags]) => counted.push(`${name} ${tags?.["reason"]}`),
            gauge: () => undefined,
            timing: () => undefined,
        },
        eventLog: { emit: (event, fields) => logged.push(`${event} ${JSON.stringify(fields)}`) },
        seed: 1,
    });
    network.onMessage("probe", from => received.push(from));
    const server = createServer((...[, response]) => response.end("served"));
    network.attach(server);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `ws://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return { network, server, address, counted, logged, received };
}

async function waitUntil(holds: () => boolean): Promise<void> {
    const end = performance.now() + 4_000;
    while (!holds() && performance.now() < end) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    expect(holds(), "condition holds within 4 s").to.equal(true);
}

describe("WebSocketPeerNetwork", () => {
    let nodes: Node[] = [];
    const make = async (...names: string[]) => {
        nodes = await Promise.all(names.map(node));
        return nodes as [Node, Node];
    };
    const sockets = (of: Node) => (of.network as unknown as { sockets: Set<unknown>; }).sockets.size;

    afterEach(() => {
        nodes.forEach(({ network, server }) => {
            network.close();
            server.closeAllConnections();
            server.close();
        });
    });

    it("keeps one link per pair when both sides dial, and delivers in both directions", async () => {
        const [a, b] = await make("a", "b");
        a.network.connect(b.address);
        b.network.connect(a.address);
        await waitUntil(() => a.network.links().length === 1 && b.network.links().length === 1);
        await waitUntil(() => sockets(a) === 1 && sockets(b) === 1);
        expect([a.network.send("b", probe), b.network.send("a", probe)]).to.deep.equal([true, true]);
        await waitUntil(() => a.received.length === 1 && b.received.length === 1);
    });

    it("refuses a wrong or missing secret and does not log it", async () => {
        const [a] = await make("a");
        const results = await Promise.all([{}, { authorization: "Bearer wrong-secret" }].map(async headers => {
            const [error] = await once(new WebSocket(`${a.address}${PEER_PATH}`, { headers }), "error") as [Error];
            return error.message;
        }));
        expect(results).to.deep.equal(Array(2).fill("Unexpected server response: 401"));
        expect(a.counted).to.deep.equal(["peers.refused secret", "peers.refused secret"]);
        expect(a.logged.join()).not.to.contain("secret");
    });

    const malformed: { guards: string; messages: (Buffer | string)[]; reason: string; }[] = [
        { guards: "a truncated message", messages: [Buffer.from([0x82, 0xa4, 0x6b])], reason: "codec" },
        {
            guards: "an unknown kind",
            messages: [Buffer.from([0x81, 0xa4, 0x6b, 0x69, 0x6e, 0x64, 0xa1, 0x78])],
            reason: "schema",
        },
    ];

    malformed.forEach(({ guards, messages, reason }) => {
        it(`counts ${guards} and closes the link`, async () => {
            const [a] = await make("a");
            const socket = new WebSocket(`${a.address}${PEER_PATH}`, {
                headers: { authorization: `Bearer ${secret}` },
            });
            await once(socket, "open");
            messages.forEach(message => socket.send(message));
            const [code] = await once(socket, "close") as [number];
            expect(code).to.equal(1002);
            expect(a.counted).to.deep.equal([`peers.messages_refused ${reason}`]);
        });
    });

    it("reconnects after losing the link", async () => {
        const [a, b] = await make("a", "b");
        a.network.connect(b.address);
        await waitUntil(() => a.network.links().length === 1);
        b.server.closeAllConnections();
        (b.network as unknown as { sockets: Set<{ terminate(): void; }>; }).sockets.forEach(socket =>
            socket.terminate()
        );
        await waitUntil(() => a.network.links().length === 0);
        await waitUntil(() => a.network.links().length === 1);
    });

    it("closes a link whose peer stays connected but does not respond", async () => {
        const [a] = await make("a");
        const socket = new WebSocket(`${a.address}${PEER_PATH}`, {
            headers: { authorization: `Bearer ${secret}` },
            autoPong: false,
        });
        const [code] = await once(socket, "close") as [number];
        expect(code).to.equal(1006);
    });

    it("does not connect to itself", async () => {
        const [a] = await make("a");
        a.network.connect(a.address);
        await waitUntil(() => a.counted.length > 0);
        expect(a.network.links()).to.deep.equal([]);
    });

    it("does not affect ordinary requests to the same server", async () => {
        const [a] = await make("a");
        const response = await fetch(a.address.replace("ws:", "http:"));
        expect(await response.text()).to.equal("served");
    });
});
