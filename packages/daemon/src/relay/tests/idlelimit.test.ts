/** A caller may use its connection as long as the `Keep-Alive` header of the last response says. */
import { expect } from "chai";
import {
    closeCallers,
    connectCaller,
    connectIndependentCaller,
    holdEventLoop,
    type ListenerFixture,
    startFixture,
    statusesOf,
    wait,
} from "./callerfixture.js";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
/** The `Keep-Alive` header tells 3 s at this limit. */
const LIMIT_MILLISECONDS = 2_000;
const WITHIN_PROMISE_MILLISECONDS = 2_700;

interface Case {
    readonly name: string;
    /** Changes the limits while the response is on its way. */
    readonly during: (fixture: ListenerFixture) => void;
    /** Changes the limits while the connection is idle. */
    readonly idle: (fixture: ListenerFixture) => void;
}

const lower = ({ applyLimits }: ListenerFixture): void => applyLimits({ idleTimeoutMilliseconds: 0 });
const raise = ({ applyLimits }: ListenerFixture): void => applyLimits({ idleTimeoutMilliseconds: 9_000 });
const keep = (): void => undefined;

const cases: readonly Case[] = [
    { name: "lowered before the response ends", during: lower, idle: keep },
    { name: "lowered while the connection is idle", during: keep, idle: lower },
    {
        name: "raised and lowered in series",
        during: fixture => [lower, raise, lower].forEach(change => change(fixture)),
        idle: fixture => [raise, lower].forEach(change => change(fixture)),
    },
];

/** Responds to each request in two parts. */
function respondSlowly(): Promise<ListenerFixture> {
    return startFixture(async (...[, response]) => {
        response.writeHead(200, { "Content-Length": "4" });
        response.write("ab");
        await wait(200);
        response.end("cd");
    });
}

describe("idle limit", () => {
    afterEach(closeCallers);

    cases.forEach(({ name, during, idle }) => {
        it(`${name} does not shorten the time that the caller was told`, async () => {
            const fixture = await respondSlowly();
            fixture.applyLimits({ idleTimeoutMilliseconds: LIMIT_MILLISECONDS });
            const caller = await connectCaller(fixture.port);
            caller.send(REQUEST);
            await wait(100);
            during(fixture);
            await wait(200);
            expect(caller.received()).to.match(/Keep-Alive: timeout=3\r\n[^]*abcd$/);
            idle(fixture);
            await wait(WITHIN_PROMISE_MILLISECONDS);
            caller.send(REQUEST);
            await wait(400);
            expect(statusesOf(caller.received())).to.deep.equal([200, 200]);
        });
    });

    it("of a later request replaces that of an earlier one", async () => {
        const fixture = await respondSlowly();
        const caller = await connectCaller(fixture.port);
        caller.send(REQUEST);
        await wait(300);
        fixture.applyLimits({ idleTimeoutMilliseconds: 0 });
        caller.send(REQUEST);
        const startedAt = performance.now();
        await caller.closed;
        expect(performance.now() - startedAt).to.be.within(1_000, 3_500);
    });

    it("does not close a connection on which a request arrived while the event loop was held", async () => {
        const fixture = await respondSlowly();
        fixture.applyLimits({ idleTimeoutMilliseconds: 0 });
        const caller = await connectIndependentCaller(
            fixture.port,
            [{ at: 0, text: REQUEST }, { at: 1_000, text: REQUEST }],
            4_500,
        );
        await wait(700);
        await holdEventLoop(3_000);
        const { received, closing } = await caller.report;
        expect([statusesOf(received), closing]).to.deep.equal([[200, 200], "open"]);
    });
});
