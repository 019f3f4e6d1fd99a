/** A lost connection is told from silence and from bytes that are no answer, because only a crash loses connections. */
import { expect } from "chai";
import { createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { createTargetConnections, isLostConnection } from "../targetconnections.js";

const cases: readonly {
    readonly name: string;
    readonly isLost: boolean;
    readonly act?: (socket: Socket) => void;
    /** Address to use in place of that of the server. */
    readonly address?: string;
}[] = [
    { name: "a reset before the answer", isLost: true, act: socket => void socket.resetAndDestroy() },
    { name: "a close before the answer", isLost: true, act: socket => void socket.end() },
    {
        name: "a reset inside the answer",
        isLost: true,
        act: socket => {
            socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
            setTimeout(() => socket.resetAndDestroy(), 20);
        },
    },
    {
        name: "a close inside the answer",
        isLost: true,
        act: socket => void socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
    },
    { name: "a refused connection", isLost: true, address: "127.0.0.1:1" },
    { name: "bytes that are no answer", isLost: false, act: socket => void socket.write("no answer\r\n\r\n") },
];

describe("a connection to a target", () => {
    cases.forEach(({ name, isLost, act, address }) =>
        it(`${isLost ? "is" : "is not"} lost after ${name}`, async () => {
            const server = createServer(socket => {
                socket.on("error", () => undefined);
                socket.once("data", () => act?.(socket));
            });
            await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
            const { port } = server.address() as AddressInfo;
            const connections = createTargetConnections({
                connectionsPerTarget: 2,
                connectTimeoutMilliseconds: 100,
            });
            const error = await new Promise<Error | undefined>(resolve =>
                connections.send(address ?? `127.0.0.1:${port}`, {
                    method: "GET",
                    path: "/",
                    headers: ["Host", "test"],
                    body: Buffer.alloc(0),
                    onNewConnection: true,
                }, {
                    sent: () => undefined,
                    head: () => undefined,
                    data: () => undefined,
                    ended: () => resolve(undefined),
                    failed: resolve,
                })
            );
            server.close();
            expect(error && isLostConnection(error), error?.message).to.equal(isLost);
        })
    );
});
