/** A caller that was refused at once uses its connection again. */
import { expect } from "chai";
import { Agent, createServer, request as startRequest, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createRelay } from "../relay.js";
import { createRelayFixture, quarantinePart, type RelayFixture, type RelayFixtureOptions } from "./fixture.js";

interface Answer {
    readonly status: number;
    /** Port of the caller's end of the connection. */
    readonly port: number;
}

const cases: readonly { readonly name: string; readonly options: RelayFixtureOptions; readonly part?: string; }[] = [
    { name: "a stream without a group", options: { kind: "stream", targets: [] } },
    { name: "a stream beyond the rate of all heads", options: { kind: "stream", limitedTargets: ["a", "b"] } },
    { name: "a stream with a quarantined part", options: { kind: "stream", promptParts: ["bad"] }, part: "bad" },
    { name: "a plain request without a target", options: { kind: "repeatable", targets: [] } },
];

describe("a refusal", () => {
    let server: Server;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    /** Serves a relay that reports each error of a request in `errors`. */
    const serve = async ({ parts, context }: RelayFixture, errors: unknown[]): Promise<void> => {
        const protocol = { ...parts.protocol, decodeRequest: () => context.request };
        const relay = createRelay({ ...parts, protocol });
        server = createServer((message, response) => {
            relay.handle(message, response).catch((error: unknown) => {
                errors.push(error);
                response.destroy();
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    };
    const call = (): Promise<Answer> =>
        new Promise((resolve, reject) => {
            const { port } = server.address() as AddressInfo;
            const message = startRequest({ host: "127.0.0.1", port, method: "POST", agent }, answer => {
                const { localPort = 0 } = answer.socket;
                answer.resume().on("end", () => resolve({ status: answer.statusCode ?? 0, port: localPort }));
            });
            message.on("error", reject);
            message.end("b");
        });

    cases.forEach(({ name, options, part }) => {
        it(`of ${name} leaves the connection of its caller open`, async () => {
            const errors: unknown[] = [];
            const fixture = createRelayFixture(options);
            if (part !== undefined) {
                quarantinePart(fixture.parts.requestQuarantine, { part });
            }
            await serve(fixture, errors);
            const first = await call();
            await new Promise(resolve => setTimeout(resolve, 20));
            const second = await call();
            expect([first.status, second.status, second.port]).to.deep.equal([503, 503, first.port]);
            expect(errors).to.deep.equal([]);
        });
    });
});
