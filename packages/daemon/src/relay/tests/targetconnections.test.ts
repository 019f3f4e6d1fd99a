/** A response that is cut off must never look complete, whatever its framing. */
import { expect } from "chai";
import { createServer, type Server, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { createTargetConnections } from "../targetconnections.js";

interface Case {
    readonly guards: string;
    readonly answer: string;
    /** What the target sends a moment after the answer. */
    readonly rest?: string;
    /** What the target does with the connection after the response. */
    readonly end: "close" | "reset" | "reset-at-once" | "keep";
    readonly outcome: "ended" | "failed";
}

const head = "HTTP/1.1 200 OK\r\n";
const cases: readonly Case[] = [
    {
        guards: "a complete response with a length",
        answer: `${head}Content-Length: 2\r\n\r\nok`,
        end: "keep",
        outcome: "ended",
    },
    {
        guards: "a complete response without a length",
        answer: `${head}Connection: close\r\n\r\nok`,
        end: "close",
        outcome: "ended",
    },
    {
        guards: "a response without a length whose connection is reset",
        answer: `${head}Connection: close\r\n\r\no`,
        end: "reset",
        outcome: "failed",
    },
    {
        guards: "a response without a length whose connection is reset right after its bytes",
        answer: `${head}Connection: close\r\n\r\no`,
        end: "reset-at-once",
        outcome: "failed",
    },
    {
        guards: "a chunked response whose connection is reset right after its bytes",
        answer: `${head}Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
        end: "reset-at-once",
        outcome: "failed",
    },
    {
        guards: "a complete response with a length whose connection is reset right after its bytes",
        answer: `${head}Content-Length: 2\r\n\r\nok`,
        end: "reset-at-once",
        outcome: "ended",
    },
    {
        guards: "a complete response with a length whose connection is reset a moment later",
        answer: `${head}Content-Length: 10\r\n\r\naaaaa`,
        rest: "bbbbb",
        end: "reset",
        outcome: "ended",
    },
    {
        guards: "a chunked response that ends with its connection",
        answer: `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n`,
        end: "close",
        outcome: "failed",
    },
    {
        guards: "a response that is shorter than its length",
        answer: `${head}Content-Length: 9\r\n\r\nok`,
        end: "close",
        outcome: "failed",
    },
    { guards: "a connection that closes without a response", answer: "", end: "close", outcome: "failed" },
];

const endings: Readonly<Record<Case["end"], (socket: Socket) => void>> = {
    close: socket => socket.end(),
    reset: socket => void setTimeout(() => socket.resetAndDestroy(), 20),
    "reset-at-once": socket => void socket.resetAndDestroy(),
    keep: () => undefined,
};

const REST_DELAY_MILLISECONDS = 10;

function listen({ answer, rest, end }: Case): Promise<Server> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.write(answer);
            if (rest === undefined) {
                endings[end](socket);
                return;
            }
            setTimeout(() => {
                socket.write(rest);
                endings[end](socket);
            }, REST_DELAY_MILLISECONDS);
        });
    });
    return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(server)));
}

/** How the receiver reads a response: at once, or with a pause after the first bytes, as for a slow caller. */
type Reading = "read at once" | "paused";

const PAUSE_MILLISECONDS = 50;

/** Reads a response; returns its outcome. */
function read(address: string, onNewConnection: boolean, reading: Reading): Promise<Case["outcome"]> {
    const connections = createTargetConnections({ connectionsPerTarget: 2, connectTimeoutMilliseconds: 500 });
    return new Promise<Case["outcome"]>(resolve => {
        const request = { method: "GET", path: "/", headers: ["Host", "test"], body: Buffer.alloc(0), onNewConnection };
        const exchange = connections.send(address, request, {
            sent: () => undefined,
            head: () => undefined,
            data: () => {
                if (reading === "paused") {
                    exchange.pause();
                    setTimeout(() => exchange.resume(), PAUSE_MILLISECONDS);
                }
            },
            ended: () => resolve("ended"),
            failed: () => resolve("failed"),
        });
    }).finally(() => connections.renew(address));
}

const manners = [true, false].flatMap(onNewConnection =>
    (["read at once", "paused"] as const).map(reading => ({ onNewConnection, reading }))
);

describe("target connections", () => {
    manners.forEach(({ onNewConnection, reading }) => {
        cases.forEach(entry => {
            const { guards, outcome } = entry;
            const title = `${outcome === "ended" ? "accepts" : "refuses"} ${guards}`;
            it(`${title} (new connection: ${onNewConnection}, ${reading})`, async () => {
                const server = await listen(entry);
                const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
                const seen = await read(address, onNewConnection, reading);
                server.close();
                expect(seen).to.equal(outcome);
            });
        });
    });
});
