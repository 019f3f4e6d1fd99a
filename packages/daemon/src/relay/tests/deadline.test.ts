/** A response that is ready at the deadline is delivered, and nothing reaches the caller or the counts after the deadline. */
import { expect } from "chai";
import type { Socket } from "node:net";
import { relayThroughSockets, type TargetScript } from "./socketfixture.js";

const DEADLINE_MILLISECONDS = 150;
const HOLD_MILLISECONDS = 300;
const event = (id: number): string => `id: ${id}\ndata: x\n\n`;
const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";

/** Keeps the event loop busy, as a pause of the process or a long task does. */
function holdEventLoop(milliseconds: number): void {
    const until = performance.now() + milliseconds;
    while (performance.now() < until) {
        // Busy on purpose.
    }
}

/** Responds in time to a relay that cannot read the response before its deadline. */
const respondDuringHold = (text: string): TargetScript => socket => {
    socket.write(text);
    holdEventLoop(HOLD_MILLISECONDS);
};
const stream = `${head}Connection: close\r\nContent-Length: ${event(1).length}\r\n\r\n${event(1)}`;

/** Sends events before and after the deadline. */
function sendEvents(socket: Socket): void {
    socket.write(`${head}Connection: close\r\n\r\n`);
    [1, 2, 3, 4, 5].forEach(id => setTimeout(() => socket.write(event(id)), id * DEADLINE_MILLISECONDS / 3));
}

describe("deadline of a request", () => {
    it("delivers a plain response that arrived before the deadline and is read after it", async () => {
        const target = respondDuringHold(`${head}Content-Length: 5\r\n\r\nready`);
        const result = await relayThroughSockets({ kind: "once", timeoutMilliseconds: DEADLINE_MILLISECONDS }, [
            target,
        ]);
        expect([result.status, result.body, result.outcome]).to.deep.equal([200, "ready", "complete"]);
    });

    it("delivers a stream that arrived before the deadline and is read after it", async () => {
        const options = { kind: "stream", timeoutMilliseconds: DEADLINE_MILLISECONDS } as const;
        const result = await relayThroughSockets(options, [respondDuringHold(stream)]);
        expect([result.status, result.body, result.outcome]).to.deep.equal([200, event(1), "complete"]);
    });

    it("ends a request once, with no load left, if the target continues after the deadline", async () => {
        const options = { kind: "stream", timeoutMilliseconds: DEADLINE_MILLISECONDS } as const;
        const { fixture, outcome } = await relayThroughSockets(options, [sendEvents]);
        await new Promise(resolve => setTimeout(resolve, DEADLINE_MILLISECONDS));
        const ends = fixture.events.filter(({ name }) => name === "requestEnded").map(({ fields }) =>
            fields["outcome"]
        );
        expect([outcome, ends, fixture.parts.loadTracker.targets()]).to.deep.equal(["broken-off", ["deadline"], []]);
    });
});
