/** A head that falls silent for a while and goes on gets requests again at once, not when its suspicion ends. */
import { type Clock, install } from "@sinonjs/fake-timers";
import { expect } from "chai";
import { createStreamRelay, type StreamRelay } from "../streamrelay.js";
import type { ResponseReceiver } from "../targetconnections.js";
import { createRelayFixture, type RelayFixture, responseHeads } from "./fixture.js";

const event = (id: number): Buffer => Buffer.from(`id: ${id}\ndata: piece ${id}\n\n`);

describe("head that falls silent and goes on", () => {
    let clock: Clock;
    let fixture: RelayFixture;
    let stream: StreamRelay;

    const isSuspected = (): boolean => fixture.parts.loadTracker.get("a")?.suspectedAt !== undefined;
    const cancelled = (): boolean[] => fixture.sends.map(send => send.cancelled);
    /** Lets the head act, which is seen only on a connection that is still open. */
    const act = (action: (receiver: ResponseReceiver) => void): void => {
        const [first] = fixture.sends;
        if (first?.cancelled === false) {
            action(first.receiver);
        }
    };
    const receive = (bytes: Buffer): void => act(receiver => receiver.data(bytes));
    const moveAway = (): void => {
        fixture.parts.loadTracker.suspect("a", performance.now());
        stream.moveToAnotherGroup();
    };

    beforeEach(() => {
        clock = install();
        fixture = createRelayFixture({ kind: "stream", resumable: true });
        stream = createStreamRelay(fixture.context, fixture.parts, () => undefined);
        stream.start();
        fixture.sends[0]?.receiver.sent();
        fixture.sends[0]?.receiver.head(responseHeads.stream);
        receive(event(1));
        clock.tick(600);
        moveAway();
    });
    afterEach(() => clock.uninstall());

    it("gets the next request although no stream is left there", () => {
        clock.tick(400);
        receive(event(2));
        const { state } = fixture.parts;
        state.applyTargets([{ key: "b", value: { ...state.targetById("b")!, draining: true } }]);
        createStreamRelay({ ...fixture.context }, fixture.parts, () => undefined).start();

        expect(fixture.sends.map(({ address }) => address)).to.deep.equal(["a:1", "b:1", "a:1"]);
        const recovered = fixture.events.find(({ name }) => name === "headRecovered");
        expect(recovered?.fields).to.deep.equal({ target: "a", milliseconds: 400 });
    });

    it("is no longer asked for a stream that was moved, and adds nothing to it", () => {
        receive(event(2));
        fixture.sends[1]?.receiver.sent();
        fixture.sends[1]?.receiver.head(responseHeads.stream);
        fixture.sends[1]?.receiver.data(event(2));
        expect([fixture.caller.body, cancelled()]).to.deep.equal([`${event(1)}${event(2)}`, [true, false]]);
    });

    const cases: readonly { readonly name: string; readonly play: () => void; readonly isDropped: boolean; }[] = [
        { name: "only sends comments", play: () => receive(Buffer.from(": still here\n\n")), isDropped: false },
        { name: "sends a part of an event", play: () => receive(Buffer.from("id: 2\n")), isDropped: false },
        { name: "sends bytes without end", play: () => receive(Buffer.alloc(300_000, "x")), isDropped: true },
        {
            name: "closes the connection",
            play: () => act(receiver => receiver.failed(new Error("reset"))),
            isDropped: true,
        },
        { name: "ends its response", play: () => act(receiver => receiver.ended()), isDropped: true },
        { name: "is silent until the suspicion ends", play: () => void clock.tick(6_000), isDropped: true },
        { name: "has lost the caller of its stream", play: () => fixture.caller.leave(), isDropped: true },
    ];
    cases.forEach(({ name, play, isDropped }) => {
        it(`stays suspected if it ${name}`, () => {
            play();
            expect([isSuspected(), cancelled()[0]]).to.deep.equal([true, isDropped]);
        });
    });

    it("is not sent a request of a moved stream that was never written", () => {
        fixture = createRelayFixture({ kind: "stream", resumable: true });
        stream = createStreamRelay(fixture.context, fixture.parts, () => undefined);
        stream.start();
        moveAway();
        expect(cancelled()).to.deep.equal([true, false]);
    });
});
