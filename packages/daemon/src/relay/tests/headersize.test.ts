/** A head within the configured limit is read, and one beyond it is denied with 431, whatever the limit is. */
import { expect } from "chai";
import { createRelay } from "../relay.js";
import { closeCallers, connectCaller, startFixture, statusesOf, wait } from "./callerfixture.js";
import { createRelayFixture } from "./fixture.js";

const PARSER_DEFAULT_BYTES = 65_536;

/** Sends a head of some size to a relay without targets, with a limit that is set before or after the connection. */
async function statusOf(headBytes: number, limitBytes: number): Promise<readonly number[]> {
    const { parts, context } = createRelayFixture({ kind: "once", targets: [] });
    const protocol = { ...parts.protocol, decodeRequest: () => context.request };
    const fixture = await startFixture(createRelay({ ...parts, protocol }));
    const { configuration } = context.lookup;
    const limits = { ...configuration.limits, headerBytes: limitBytes };
    parts.state.applyConfiguration({ ...configuration, version: 2, limits });
    fixture.applyLimits({ headerBytes: limitBytes });
    const caller = await connectCaller(fixture.port);
    const fields = Math.ceil(headBytes / 1_000);
    caller.send(`GET / HTTP/1.1\r\nHost: h\r\n${`X-Field: ${"x".repeat(989)}\r\n`.repeat(fields)}\r\n`);
    await wait(200);
    return statusesOf(caller.received());
}

describe("size of a head", () => {
    afterEach(closeCallers);

    it("within a limit above the default of the parser is read", async () => {
        expect(await statusOf(2 * PARSER_DEFAULT_BYTES, 4 * PARSER_DEFAULT_BYTES)).to.deep.equal([503]);
    });

    it("beyond the limit is denied with 431", async () => {
        expect(await statusOf(2 * PARSER_DEFAULT_BYTES, 1.5 * PARSER_DEFAULT_BYTES)).to.deep.equal([431]);
        expect(await statusOf(12_000, 8_000)).to.deep.equal([431]);
    });
});
