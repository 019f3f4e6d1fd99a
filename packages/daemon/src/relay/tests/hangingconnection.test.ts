/** Which timeout ends a connection to a target from which nothing arrives any more. */
import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { createTargetConnections, type ResponseReceiver } from "../targetconnections.js";

const IDLE_MILLISECONDS = 4_000;
const MARGIN_MILLISECONDS = 1_000;
const REQUEST = { method: "POST", path: "/", headers: [], body: Buffer.from("body"), onNewConnection: false };

const ignore: ResponseReceiver = {
    sent: () => undefined,
    head: () => undefined,
    data: () => undefined,
    ended: () => undefined,
    failed: () => undefined,
};
const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

describe("a connection to a target that hangs", function() {
    this.timeout(10_000);
    const sockets: Socket[] = [];
    let server: Server;
    let address = "";
    let answers = true;

    beforeEach(async () => {
        sockets.length = 0;
        answers = true;
        server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => undefined);
            socket.on("data", () => {
                if (answers) {
                    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });
    afterEach(() => {
        sockets.forEach(socket => socket.destroy());
        server.close();
    });

    const connections = createTargetConnections({ connectionsPerTarget: 2, connectTimeoutMilliseconds: 400 });
    const send = (): Promise<void> =>
        new Promise(resolve =>
            connections.send(address, REQUEST, { ...ignore, ended: resolve, failed: () => resolve() })
        );
    const closedAt = (socket: Socket | undefined): Promise<number> =>
        new Promise(resolve => socket?.once("close", () => resolve(performance.now())));

    it("is closed by the idle timeout if no request waits", async () => {
        await send();
        const idleSince = performance.now();
        const idleFor = await closedAt(sockets[0]) - idleSince;
        expect(idleFor).to.be.within(IDLE_MILLISECONDS - MARGIN_MILLISECONDS, IDLE_MILLISECONDS + MARGIN_MILLISECONDS);
    });

    it("stays open until the request is cancelled if one waits, and is closed then", async () => {
        await send();
        answers = false;
        const exchange = connections.send(address, REQUEST, ignore);
        await wait(IDLE_MILLISECONDS + MARGIN_MILLISECONDS);
        expect(sockets.map(({ destroyed }) => destroyed)).to.deep.equal([false]);
        const closed = closedAt(sockets[0]);
        exchange.cancel();
        await closed;
    });

    it("is closed as soon as the target's address is renewed if no request waits", async () => {
        await send();
        const closed = closedAt(sockets[0]);
        connections.renew(address);
        await closed;
    });

    it("counts as idle after a request and until its address is renewed, but not while a request waits", async () => {
        await send();
        await wait(20);
        const states = [connections.isConnected(address)];
        answers = false;
        const exchange = connections.send(address, REQUEST, ignore);
        await wait(20);
        states.push(connections.isConnected(address));
        exchange.cancel();
        answers = true;
        await send();
        await wait(20);
        connections.renew(address);
        await wait(20);
        states.push(connections.isConnected(address));
        expect(states).to.deep.equal([true, false, false]);
    });
});
