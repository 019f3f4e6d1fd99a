/** Which ends of a request count as failures of its plain target, and that known failures decide which target gets a request. */
import { expect } from "chai";
import type { ResponseHead } from "../../ports/relayprotocol.js";
import { InvalidStatusError } from "../../responsestatus.js";
import { createPlainRelay } from "../plainrelay.js";
import type { RelayParts } from "../requestcontext.js";
import { createRelayFixture, type FakeSend, type RelayFixture, responseHeads } from "./fixture.js";

interface Run {
    readonly fixture: RelayFixture;
    /** Outcomes that the relay recorded; true is a failure. */
    readonly recorded: (readonly [target: string, failed: boolean])[];
}

function relayOnce(change: Partial<RelayParts["failures"]> = {}, random = 0): Run {
    const fixture = createRelayFixture({ kind: "once", maximumAttempts: 1 });
    const recorded: [string, boolean][] = [];
    const failures: RelayParts["failures"] = {
        ...fixture.parts.failures,
        record: ({ id }, failed) => void recorded.push([id, failed]),
        ...change,
    };
    createPlainRelay(fixture.context, { ...fixture.parts, failures, random: () => random }, () => undefined).start();
    return { fixture, recorded };
}

const answer = (head: ResponseHead) => ({ receiver }: FakeSend): void => {
    receiver.sent();
    receiver.head(head);
    receiver.ended();
};
const reset = Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" });

describe("failures of plain targets", () => {
    const cases: readonly (readonly [name: string, respond: (send: FakeSend) => void, recorded: readonly boolean[]])[] =
        [
            ["count an answer as sound", answer(responseHeads.ok), [false]],
            ["count a status 500", answer(responseHeads.error), [true]],
            ["count a 503 that does not state that the request has not run", answer(responseHeads.silent503), [true]],
            ["count no refusal that states that the request has not run", answer(responseHeads.notRun), []],
            ["count no misdirected request", answer(responseHeads.misdirected), []],
            ["count no answer to another request", ({ receiver }) => {
                receiver.sent();
                receiver.head(responseHeads.foreign);
            }, []],
            ["count a connection that is lost after the request was sent", ({ receiver }) => {
                receiver.sent();
                receiver.failed(reset);
            }, [true]],
            ["count a status that no answer has", ({ receiver }) => {
                receiver.sent();
                receiver.failed(new InvalidStatusError(600));
            }, [true]],
            [
                "count no connection that is lost before the request was sent",
                ({ receiver }) => receiver.failed(reset),
                [],
            ],
            ["count no attempt that ends for another reason", ({ receiver }) => {
                receiver.sent();
                receiver.failed(new Error("No connection was free in time."));
            }, []],
        ];
    cases.forEach(([name, respond, expected]) =>
        it(name, () => {
            const { fixture: { sends }, recorded } = relayOnce();
            respond(sends[0] ?? expect.fail("Nothing was sent."));
            expect(recorded.map(([, failed]) => failed)).to.deep.equal(expected);
        })
    );

    it("count the end of a request whose caller has left", () => {
        const { fixture: { sends, caller }, recorded } = relayOnce();
        const send = sends[0] ?? expect.fail("Nothing was sent.");
        send.receiver.sent();
        caller.leave();
        send.receiver.head(responseHeads.error);
        send.receiver.ended();
        expect(recorded.map(([, failed]) => failed)).to.deep.equal([true]);
    });

    it("keep most requests from their target", () => {
        const shareOf: RelayParts["failures"]["shareOf"] = ({ id }) => id === "a" ? 0.45 : 0;
        const addressOf = (random: number): string | undefined =>
            relayOnce({ shareOf }, random).fixture.sends[0]?.address;
        expect([addressOf(0.5), addressOf(0.01)]).to.deep.equal(["b:1", "a:1"]);
    });
});
