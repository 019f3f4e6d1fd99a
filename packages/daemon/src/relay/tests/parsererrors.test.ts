/** Bytes that are no request do not take away the responses to the whole requests before them on a connection. */
import { expect } from "chai";
import { closeCallers, connectCaller, startFixture, wait } from "./callerfixture.js";

const LARGE_BYTES = 6_000_000;
const RESPONSE_MILLISECONDS = 300;
const NOISE = "\u0000\u0001 no request\r\n\r\n";

const requestOf = (path: string): string => `POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb`;

/** How the relay of the test responds, by path. */
const responses: Readonly<Record<string, string>> = { "/small": "small", "/large": "x".repeat(LARGE_BYTES) };

async function startRelay(): Promise<{ readonly port: number; readonly handled: string[]; }> {
    const handled: string[] = [];
    const { port } = await startFixture(async (message, response) => {
        await message.toArray();
        const { url = "" } = message;
        handled.push(url);
        const body = responses[url] ?? "";
        if (url === "/large") {
            response.end(body);
            return;
        }
        response.writeHead(200, { "Content-Length": body.length });
        response.write(body.slice(0, 1));
        await wait(RESPONSE_MILLISECONDS);
        response.end(body.slice(1));
    });
    return { port, handled };
}

const cases: readonly {
    readonly name: string;
    readonly sent: string;
    readonly late?: string;
    readonly bodies: readonly string[];
}[] = [
    { name: "no request was sent", sent: NOISE, bodies: [] },
    { name: "a response is being written", sent: requestOf("/small"), late: NOISE, bodies: ["/small"] },
    { name: "a response has not begun", sent: requestOf("/small") + NOISE, bodies: ["/small"] },
    {
        name: "several requests wait for their responses",
        sent: requestOf("/small") + requestOf("/small") + NOISE,
        bodies: ["/small", "/small"],
    },
    { name: "a large response waits for its caller", sent: requestOf("/large"), late: NOISE, bodies: ["/large"] },
    {
        name: "the body of the next request is malformed",
        sent: `${requestOf("/small")}POST /next HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n`,
        bodies: ["/small"],
    },
];

describe("bytes that are no request", () => {
    afterEach(closeCallers);

    cases.forEach(({ name, sent, late, bodies }) => {
        it(`close the connection after the responses before them: ${name}`, async () => {
            const { port, handled } = await startRelay();
            const caller = await connectCaller(port);
            caller.send(sent);
            await wait(100);
            if (late !== undefined) {
                caller.send(late);
            }
            const { wasReset } = await caller.closed;
            const received = caller.received();
            const expected = bodies.map(path => responses[path] ?? "");
            expect(received.split("\r\n\r\n").slice(1).map(text => text.replace(/HTTP[^]*$/, "").length))
                .to.deep.equal(expected.map(({ length }) => length));
            expect([wasReset, handled]).to.deep.equal([false, bodies]);
        });
    });
});
