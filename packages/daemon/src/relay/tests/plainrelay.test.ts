/** A request that is not repeatable runs at most once, and a refused request has not run. */
import { expect } from "chai";
import type { ResponseHead } from "../../ports/relayprotocol.js";
import { createPlainRelay } from "../plainrelay.js";
import {
    createRelayFixture,
    type FakeSend,
    type RelayFixture,
    type RelayFixtureOptions,
    responseHeads,
} from "./fixture.js";

function start(options: RelayFixtureOptions): RelayFixture {
    const fixture = createRelayFixture(options);
    createPlainRelay(fixture.context, fixture.parts, () => undefined).start();
    return fixture;
}

function answer(send: FakeSend | undefined, head: ResponseHead, body = "body"): void {
    send?.receiver.sent();
    send?.receiver.head(head);
    send?.receiver.data(Buffer.from(body));
    send?.receiver.ended();
}

interface Step {
    readonly kind: "answer" | "connection-refused" | "reset" | "cut";
    readonly head?: ResponseHead;
}

const steps: Readonly<Record<Step["kind"], (send: FakeSend | undefined, step: Step) => void>> = {
    "answer": (send, { head = responseHeads.ok }) => answer(send, head),
    "connection-refused": send => send?.receiver.failed(new Error("refused")),
    "reset": send => {
        send?.receiver.sent();
        send?.receiver.failed(new Error("reset"));
    },
    "cut": send => {
        send?.receiver.sent();
        send?.receiver.head(responseHeads.ok);
        send?.receiver.data(Buffer.from("bo"));
        send?.receiver.failed(new Error("cut"));
    },
};

const cases: readonly {
    readonly guards: string;
    readonly kind: "repeatable" | "once";
    readonly steps: readonly Step[];
    readonly status: number;
    readonly sends: number;
}[] = [
    { guards: "a lost response", kind: "once", steps: [{ kind: "answer" }], status: 200, sends: 1 },
    { guards: "a second run after a reset", kind: "once", steps: [{ kind: "reset" }], status: 502, sends: 1 },
    {
        guards: "a second run after a response that was cut off",
        kind: "once",
        steps: [{ kind: "cut" }],
        status: 502,
        sends: 1,
    },
    {
        guards: "a failure although nothing was sent",
        kind: "once",
        steps: [{ kind: "connection-refused" }, { kind: "answer" }],
        status: 200,
        sends: 2,
    },
    {
        guards: "a failure although the first target states that it has not run the request",
        kind: "once",
        steps: [{ kind: "answer", head: responseHeads.notRun }, { kind: "answer" }],
        status: 200,
        sends: 2,
    },
    {
        guards: "a refusal of a request that a target may have run",
        kind: "once",
        steps: [{ kind: "answer", head: responseHeads.silent503 }],
        status: 502,
        sends: 1,
    },
    {
        guards: "a failure of a request that no target has run",
        kind: "once",
        steps: [{ kind: "answer", head: responseHeads.notRun }, { kind: "answer", head: responseHeads.notRun }],
        status: 503,
        sends: 2,
    },
    {
        guards: "a refusal after one target may have run the request",
        kind: "repeatable",
        steps: [{ kind: "reset" }, { kind: "answer", head: responseHeads.notRun }],
        status: 502,
        sends: 2,
    },
    {
        guards: "a response to another request",
        kind: "repeatable",
        steps: [{ kind: "answer", head: responseHeads.foreign }, { kind: "answer" }],
        status: 200,
        sends: 2,
    },
    {
        guards: "a modified error response of the target",
        kind: "repeatable",
        steps: [{ kind: "answer", head: responseHeads.error }, { kind: "answer", head: responseHeads.error }],
        status: 500,
        sends: 2,
    },
    {
        guards: "a failure that a retry at another target avoids",
        kind: "repeatable",
        steps: [{ kind: "cut" }, { kind: "answer" }],
        status: 200,
        sends: 2,
    },
];

describe("plain relay", () => {
    cases.forEach(({ guards, kind, steps: given, status, sends: count }) => {
        it(`guards against ${guards} (${kind})`, () => {
            const { sends, caller } = start({ kind });
            given.forEach((step, index) => steps[step.kind](sends[index], step));
            expect([caller.status, sends.length]).to.deep.equal([status, count]);
        });
    });

    it("tries the next target if the first accepted no connection, even with a limit of one attempt", () => {
        const { sends, caller } = start({ kind: "once", maximumAttempts: 1 });
        steps["connection-refused"](sends[0], { kind: "connection-refused" });
        steps.answer(sends[1], { kind: "answer" });
        expect([sends.length, caller.status]).to.deep.equal([2, 200]);
    });

    it("sends a request with a limit of one attempt to only one target that accepts the connection", () => {
        const { sends, caller } = start({ kind: "once", maximumAttempts: 1 });
        steps.answer(sends[0], { kind: "answer", head: responseHeads.notRun });
        expect([sends.length, caller.status]).to.deep.equal([1, 503]);
    });

    it("uses a new connection only for requests that are not repeatable", () => {
        expect(start({ kind: "once" }).sends[0]?.request.onNewConnection).to.equal(true);
        expect(start({ kind: "repeatable" }).sends[0]?.request.onNewConnection).to.equal(false);
    });

    it("sends the caller nothing of a response that was cut off", () => {
        const { sends, caller } = start({ kind: "repeatable", maximumAttempts: 1 });
        steps.cut(sends[0], { kind: "cut" });
        expect(caller.body).to.not.contain('bo"').and.not.match(/^bo$/);
        expect(caller.status).to.equal(502);
    });

    [
        { kind: "repeatable", cancelled: true, guards: "work for a caller that has disconnected" },
        { kind: "once", cancelled: false, guards: "a cancellation of work that is not repeatable" },
    ].forEach(({ kind, cancelled, guards }) => {
        it(`guards against ${guards}`, () => {
            const { sends, caller } = start({ kind: kind as "repeatable" | "once" });
            sends[0]?.receiver.sent();
            caller.leave();
            expect(sends[0]?.cancelled).to.equal(cancelled);
        });
    });

    it("sends a request that was refused by its target to no other one after the caller has disconnected", () => {
        const { sends, caller } = start({ kind: "once" });
        sends[0]?.receiver.sent();
        caller.leave();
        sends[0]?.receiver.head(responseHeads.notRun);
        sends[0]?.receiver.ended();
        expect(sends.length).to.equal(1);
    });

    it("cancels a request whose caller has disconnected at its deadline, so that an endless response ends", async () => {
        const { sends, caller } = start({ kind: "once", timeoutMilliseconds: 30 });
        sends[0]?.receiver.sent();
        caller.leave();
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(sends[0]?.cancelled).to.equal(true);
    });

    it("refuses at once with Retry-After while no target is registered", () => {
        const { caller } = start({ kind: "once", targets: [] });
        expect([caller.status, caller.headers[0]]).to.deep.equal([503, "Retry-After"]);
    });

    it("responds with 504 at the timeout of the route", async () => {
        const { caller, sends } = start({ kind: "repeatable", timeoutMilliseconds: 30 });
        sends[0]?.receiver.sent();
        await new Promise(resolve => setTimeout(resolve, 60));
        expect([caller.status, sends[0]?.cancelled]).to.deep.equal([504, true]);
    });
});
