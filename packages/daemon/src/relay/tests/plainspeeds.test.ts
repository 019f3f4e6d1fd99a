/** Responses of plain targets show their speed, and requests go to the quicker ones. */
import { expect } from "chai";
import { createPlainRelay } from "../plainrelay.js";
import type { RelayParts } from "../requestcontext.js";
import { createRelayFixture, type RelayFixture, responseHeads } from "./fixture.js";

/** Ratio that the fake comparison of times returns. */
const RATIO = 7;

interface Run {
    readonly fixture: RelayFixture;
    /** Observations of speed that the relay recorded. */
    readonly recorded: (readonly [target: string, ratio: number])[];
}

function relayOnce(change: Partial<RelayParts["speeds"]> = {}): Run {
    const fixture = createRelayFixture({ kind: "repeatable" });
    const recorded: [string, number][] = [];
    const speeds: RelayParts["speeds"] = {
        ...fixture.parts.speeds,
        record: (target, ratio) => void recorded.push([target, ratio]),
        slownessOf: () => 1,
        ...change,
    };
    const parts = { ...fixture.parts, speeds, routeTimes: { record: () => RATIO } };
    createPlainRelay(fixture.context, parts, () => undefined).start();
    return { fixture, recorded };
}

describe("speed of plain targets", () => {
    const cases = [
        { name: "is observed by a whole response", head: responseHeads.ok, observed: 1 },
        { name: "is not observed by an error", head: responseHeads.error, observed: 0 },
    ];
    cases.forEach(({ name, head, observed }) =>
        it(name, () => {
            const { fixture: { sends, parts }, recorded } = relayOnce();
            const { receiver, address } = sends[0] ?? expect.fail("Nothing was sent.");
            receiver.sent();
            receiver.head(head);
            receiver.ended();
            const target = parts.state.targets().find(known => known.address === address)?.id ?? "";
            expect(recorded).to.deep.equal(Array.from({ length: observed }, () => [target, RATIO]));
        })
    );

    it("decides which of them gets a request", () => {
        const { fixture: { sends, parts } } = relayOnce({ slownessOf: target => target === "a" ? RATIO : 1 });
        expect(sends[0]?.address).to.equal(parts.state.targetById("b")?.address);
    });
});
