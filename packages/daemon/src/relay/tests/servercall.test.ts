/** A call ends with a complete response, or fails in time and leaves no connection behind. */
import { expect } from "chai";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { callServer } from "../servercall.js";
import { createTargetConnections } from "../targetconnections.js";

const TIMEOUT_MILLISECONDS = 200;
/** The end of a connection arrives this much later at most. */
const CLOSE_MILLISECONDS = 300;

const cases: readonly {
    readonly name: string;
    readonly respond: RequestListener;
    /** When the call is cancelled. */
    readonly cancelAfter?: number;
    /** Status and body, or undefined if the call fails. */
    readonly response?: readonly [status: number, body: string];
}[] = [
    {
        name: "gets a complete response",
        respond: (...[, response]) => response.writeHead(404).end("not here"),
        response: [404, "not here"],
    },
    { name: "fails at its timeout", respond: () => undefined },
    {
        name: "fails at its timeout while the body is on its way",
        respond: (...[, response]) => void response.writeHead(200, { "Content-Length": "9" }).write("begun"),
    },
    {
        name: "fails if the response is cut off",
        respond: (...[, response]) => {
            response.writeHead(200, { "Content-Length": "9" });
            response.write("begun", () => response.destroy());
        },
    },
    { name: "fails when it is cancelled", respond: () => undefined, cancelAfter: 20 },
    { name: "fails if it was cancelled before", respond: (...[, response]) => response.end("late"), cancelAfter: 0 },
];

describe("call to a server", () => {
    let server: Server;
    let address = "";
    let openConnections = 0;
    let respond: RequestListener = () => undefined;
    const seen: (string | undefined)[] = [];

    before(async () => {
        server = createServer((request, response) => {
            seen.push(request.headers.host);
            respond(request, response);
        });
        server.on("connection", socket => {
            openConnections += 1;
            socket.once("close", () => {
                openConnections -= 1;
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    });
    after(() => server.close());

    cases.forEach(({ name, respond: listener, cancelAfter, response }) =>
        it(name, async () => {
            respond = listener;
            seen.length = 0;
            const connections = createTargetConnections({ connectionsPerTarget: 1, connectTimeoutMilliseconds: 100 });
            const controller = new AbortController();
            if (cancelAfter === 0) {
                controller.abort();
            }
            else if (cancelAfter !== undefined) {
                setTimeout(() => controller.abort(), cancelAfter);
            }
            const startedAt = performance.now();
            const result = await callServer(connections, {
                address,
                method: "GET",
                path: "/x",
                headers: [],
                body: Buffer.alloc(0),
                onNewConnection: true,
                timeoutMilliseconds: TIMEOUT_MILLISECONDS,
                signal: controller.signal,
            }).then(({ status, body }) => [status, body.toString()], () => undefined);
            expect(result).to.deep.equal(response);
            expect(seen).to.deep.equal(cancelAfter === 0 ? [] : [address]);
            expect(performance.now() - startedAt).to.be.below(TIMEOUT_MILLISECONDS + CLOSE_MILLISECONDS);
            const closedBy = performance.now() + CLOSE_MILLISECONDS;
            while (openConnections > 0 && performance.now() < closedBy) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            expect(openConnections).to.equal(0);
        })
    );
});
