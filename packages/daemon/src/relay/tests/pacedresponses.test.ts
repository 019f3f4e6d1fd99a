/** Long responses that arrive at full speed must not fill the memory of the daemon, nor overrun a caller that is paused. */
import { expect } from "chai";
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { createTargetConnections, type TargetExchange } from "../targetconnections.js";

const BODY_BYTES = 10_000_000;
/** Bytes of the body beyond its unlimited start, at the rate of all bodies. */
const SHORTEST_MILLISECONDS = (BODY_BYTES - 1_048_576) / 32_768;
/** Time of the body if it shared the rate with ten others. */
const SHARED_MILLISECONDS = 11 * SHORTEST_MILLISECONDS;

const framings: readonly { readonly name: string; readonly headers: Readonly<Record<string, string>>; }[] = [
    { name: "chunks", headers: {} },
    { name: "its connection's end", headers: { "Connection": "close" } },
];

async function listen(answer: (response: ServerResponse) => void): Promise<Server> {
    const server = createServer((...[, response]) => answer(response));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return server;
}

/** Bytes read so far, and the end of the response. */
interface Reading {
    bytes: number;
    readonly exchange: TargetExchange;
    readonly ended: Promise<void>;
}

function read(
    server: Server,
    connections = createTargetConnections({ connectionsPerTarget: 4, connectTimeoutMilliseconds: 500 }),
): Reading {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const request = {
        method: "GET",
        path: "/",
        headers: ["Host", address],
        body: Buffer.alloc(0),
        onNewConnection: true,
    };
    let exchange: TargetExchange | undefined;
    const reading = { bytes: 0 };
    const ended = new Promise<void>((resolve, reject) => {
        exchange = connections.send(address, request, {
            sent: () => undefined,
            head: () => undefined,
            data: chunk => {
                reading.bytes += chunk.length;
            },
            ended: resolve,
            failed: reject,
        });
    });
    if (exchange === undefined) {
        throw new Error("The request was not sent.");
    }
    return Object.assign(reading, { exchange, ended });
}

describe("long responses of targets", () => {
    framings.forEach(({ name, headers }) =>
        it(`are read whole, at the rate of all bodies at most (end marked by ${name})`, async () => {
            const server = await listen(response => {
                response.useChunkedEncodingByDefault = headers["Connection"] === undefined;
                response.writeHead(200, headers).end(Buffer.alloc(BODY_BYTES));
            });
            const startedAt = performance.now();
            const reading = read(server);
            await reading.ended;
            const elapsed = performance.now() - startedAt;
            server.close();
            expect(reading.bytes).to.equal(BODY_BYTES);
            expect(elapsed).to.be.at.least(SHORTEST_MILLISECONDS);
        })
    );

    it("with a stated length are not delayed by those without an end", async () => {
        const connections = createTargetConnections({ connectionsPerTarget: 20, connectTimeoutMilliseconds: 500 });
        const endless = await listen(response => void response.end(Buffer.alloc(8 * BODY_BYTES)));
        const sound = await listen(response =>
            void response.writeHead(200, { "Content-Length": BODY_BYTES }).end(Buffer.alloc(BODY_BYTES))
        );
        const others = Array.from({ length: 10 }, () => read(endless, connections));
        await delay(50);
        const startedAt = performance.now();
        const reading = read(sound, connections);
        await reading.ended;
        const elapsed = performance.now() - startedAt;
        others.forEach(({ exchange }) => exchange.cancel());
        [endless, sound].forEach(server => server.close());
        expect(reading.bytes).to.equal(BODY_BYTES);
        expect(elapsed).to.be.below(SHARED_MILLISECONDS);
    });

    it("stay paused for a slow caller when the pace allows the next read", async () => {
        const server = await listen(response => void response.end(Buffer.alloc(BODY_BYTES)));
        const reading = read(server);
        while (reading.bytes < 2_000_000) {
            await delay(1);
        }
        reading.exchange.pause();
        await delay(20);
        const pausedAt = reading.bytes;
        await delay(100);
        expect(reading.bytes).to.equal(pausedAt);
        reading.exchange.resume();
        await reading.ended;
        server.close();
        expect(reading.bytes).to.equal(BODY_BYTES);
    });
});
