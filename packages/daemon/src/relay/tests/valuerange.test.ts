/** A limit or timeout in the configuration that Node's timers do not accept neither fails requests nor ends the process. */
import { expect } from "chai";
import { createRelay } from "../relay.js";
import { closeCallers, connectCaller, startFixture, statusesOf, wait } from "./callerfixture.js";
import { createRelayFixture } from "./fixture.js";

const REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nb";

describe("value out of the range of timers", () => {
    afterEach(closeCallers);

    it("as the timeout of a route does not end a request at once", async () => {
        const { parts, context, sends } = createRelayFixture({ kind: "once", timeoutMilliseconds: 2 ** 32 });
        const protocol = { ...parts.protocol, decodeRequest: () => context.request };
        const { port } = await startFixture(createRelay({ ...parts, protocol }));
        const caller = await connectCaller(port);
        caller.send(REQUEST);
        await wait(100);
        expect([sends.length, statusesOf(caller.received())]).to.deep.equal([1, []]);
    });

    it("as the timeout of a route does not cancel a request that goes on without its caller", async () => {
        const { parts, context, sends } = createRelayFixture({ kind: "once", timeoutMilliseconds: 2 ** 32 });
        const protocol = { ...parts.protocol, decodeRequest: () => context.request };
        const { port } = await startFixture(createRelay({ ...parts, protocol }));
        const caller = await connectCaller(port);
        caller.send(REQUEST);
        await wait(50);
        sends[0]?.receiver.sent();
        caller.close();
        await wait(100);
        expect(sends.map(({ cancelled }) => cancelled)).to.deep.equal([false]);
    });

    [-9_000, 2 ** 32].forEach(idleTimeoutMilliseconds => {
        it(`as the idle limit does not end the process (${idleTimeoutMilliseconds})`, async () => {
            const { port, applyLimits } = await startFixture(async (...[, response]) => void response.end("ok"));
            applyLimits({ idleTimeoutMilliseconds });
            const caller = await connectCaller(port);
            caller.send(REQUEST);
            await wait(50);
            expect(statusesOf(caller.received())).to.deep.equal([200]);
        });
    });
});
