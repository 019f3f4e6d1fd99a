/** The header limit ends heads that are slow, and no others. */
import { expect } from "chai";
import type { ServerResponse } from "node:http";
import {
    closeCallers,
    connectCaller,
    connectIndependentCaller,
    holdEventLoop,
    startFixture,
    statusesOf,
    wait,
} from "./callerfixture.js";

const HALF = "GET / HTTP/1.1\r\nHo";
const REST = "st: h\r\n\r\n";
const LIMIT_MILLISECONDS = 400;

const respond = async (...[, response]: [unknown, ServerResponse]): Promise<void> => void response.end("ok");

describe("header limit", () => {
    afterEach(closeCallers);

    [
        { name: "a half head", texts: [{ at: 0, text: HALF }, { at: 600, text: REST }] },
        { name: "a connection without bytes", texts: [{ at: 600, text: HALF + REST }] },
        {
            name: "a half head on a kept connection",
            texts: [{ at: 0, text: HALF + REST + HALF }, { at: 600, text: REST }],
        },
    ].forEach(({ name, texts }) => {
        it(`does not end ${name} whose rest arrived while the event loop was held`, async () => {
            const { port, applyLimits } = await startFixture(respond);
            applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
            const caller = await connectIndependentCaller(port, texts, 2_600);
            await wait(150);
            await holdEventLoop(2_000);
            const { received, closing } = await caller.report;
            expect([statusesOf(received).at(-1), closing]).to.deep.equal([200, "open"]);
        });
    });

    it("does not count the time in which the event loop was held", async () => {
        const { port, applyLimits } = await startFixture(respond);
        applyLimits({ headerTimeoutMilliseconds: 1_000 });
        const caller = await connectIndependentCaller(port, [{ at: 0, text: HALF }, { at: 1_750, text: REST }], 2_300);
        await wait(150);
        await holdEventLoop(1_500);
        const { received, closing } = await caller.report;
        expect([statusesOf(received), closing]).to.deep.equal([[200], "open"]);
    });

    it("that is lowered does not fall on a head that has begun", async () => {
        const { port, applyLimits } = await startFixture(respond);
        const caller = await connectCaller(port);
        caller.send(HALF);
        await wait(100);
        applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
        await wait(1_500);
        caller.send(REST);
        await wait(100);
        expect(statusesOf(caller.received())).to.deep.equal([200]);
    });

    it("that is raised holds for a head that has begun", async () => {
        const { port, applyLimits } = await startFixture(respond);
        applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
        const caller = await connectCaller(port);
        caller.send(HALF);
        await wait(100);
        applyLimits({ headerTimeoutMilliseconds: 5_000 });
        await wait(1_500);
        caller.send(REST);
        await wait(100);
        expect(statusesOf(caller.received())).to.deep.equal([200]);
    });

    [
        { name: "a head that stops", first: HALF, next: "" },
        { name: "a connection without bytes", first: "", next: "" },
        { name: "a second head that stops", first: HALF + REST, next: HALF },
    ].forEach(({ name, first, next }) => {
        it(`ends ${name}`, async () => {
            const { port, applyLimits } = await startFixture(respond);
            applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
            const caller = await connectCaller(port);
            caller.send(first);
            await wait(next === "" ? 0 : 100);
            const startedAt = performance.now();
            caller.send(next);
            await caller.closed;
            expect(performance.now() - startedAt).to.be.within(LIMIT_MILLISECONDS - 10, 2_000);
        });
    });

    it("ends a head that goes on byte by byte", async () => {
        const { port, applyLimits } = await startFixture(respond);
        applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
        const caller = await connectCaller(port);
        caller.send(HALF);
        const timer = setInterval(() => caller.send("x"), 20);
        const startedAt = performance.now();
        await caller.closed;
        clearInterval(timer);
        expect(performance.now() - startedAt).to.be.within(LIMIT_MILLISECONDS - 10, 2_000);
    });

    it("does not fall on a slow body or a slow response", async () => {
        const { port, applyLimits } = await startFixture(async (message, response) => {
            message.resume();
            await new Promise(resolve => message.once("end", resolve));
            await wait(1_200);
            response.end("ok");
        });
        applyLimits({ headerTimeoutMilliseconds: LIMIT_MILLISECONDS });
        const caller = await connectCaller(port);
        caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1");
        await wait(1_200);
        caller.send("2");
        await wait(1_400);
        expect(statusesOf(caller.received())).to.deep.equal([200]);
    });
});
