/** What daemons tell each other of quarantined parts survives the message, other clocks and earlier versions. */
import { createPartQuarantine, type QuarantineReport } from "@damaskvale/core";
import { expect } from "chai";
import { decodeExchangeMessage, encodeExchangeMessage, type KnowledgeMessage } from "../exchangemessage.js";
import { decodeQuarantine, encodeQuarantine } from "../quarantinemessage.js";

const message: KnowledgeMessage = {
    daemon: "d0",
    configurationVersion: 1,
    kind: "event",
    leaving: [],
    takesRequests: true,
    suspects: [],
    memberships: [],
    limits: [],
};
const report: QuarantineReport = {
    crashes: [
        { target: "t1", startedAt: 7, parts: ["a", "b"], at: 900 },
        { target: "t2", parts: [], at: 950, withdrawn: true },
    ],
    proven: [{ part: "a", at: 990 }],
    statements: [{
        part: "b",
        revision: 2,
        state: "quarantined",
        statedAt: 960,
        crashes: 3,
        cause: "trial-failed",
        trials: 1,
        trialAt: 940,
        wasProven: true,
        isAmbiguous: false,
    }],
};
/** Largest payload of a UDP datagram. */
const DATAGRAM_BYTES = 65_507;

function transmit(sent: KnowledgeMessage): KnowledgeMessage {
    const decoded = decodeExchangeMessage(encodeExchangeMessage(sent));
    if (decoded.kind === "malformed") {
        throw new Error(decoded.reason);
    }
    return decoded.message as KnowledgeMessage;
}

describe("the message about quarantined parts", () => {
    it("carries ages between the clocks of two daemons", () => {
        const { quarantine } = transmit({ ...message, quarantine: encodeQuarantine(report, 1_000) });
        const shift = 5_000;
        const shifted = quarantine && decodeQuarantine(quarantine, 1_000 + shift);
        expect(shifted).to.deep.equal({
            crashes: report.crashes.map(({ at, ...crash }) => ({ ...crash, at: at + shift })),
            proven: report.proven.map(({ at, part }) => ({ part, at: at + shift })),
            statements: report.statements.map(({ statedAt, trialAt = 0, ...statement }) => ({
                ...statement,
                statedAt: statedAt + shift,
                trialAt: trialAt + shift,
            })),
        });
    });

    it("is left out while there is nothing to tell", () => {
        const empty = encodeQuarantine({ crashes: [], proven: [], statements: [] }, 0);
        expect(empty).to.equal(undefined);
    });

    it("may be absent, as in messages of earlier versions", () => {
        expect(transmit(message).quarantine).to.equal(undefined);
    });

    const malformed: readonly { readonly name: string; readonly quarantine: unknown; }[] = [
        { name: "a text", quarantine: "b" },
        { name: "an unknown state", quarantine: { ...encodeQuarantine(report, 1_000), statements: [{ state: "x" }] } },
        { name: "a negative age", quarantine: { crashes: [], proven: [["a", -1]], statements: [] } },
    ];
    malformed.forEach(({ name, quarantine }) =>
        it(`is refused if it is ${name}`, () => {
            const bytes = encodeExchangeMessage({ ...message, quarantine } as KnowledgeMessage);
            expect(decodeExchangeMessage(bytes).kind).to.equal("malformed");
        })
    );

    it("fits into a datagram however many parts, crashes and decisions there are", () => {
        const quarantine = createPartQuarantine();
        const longId = (index: number): string => index.toString(16).padStart(32, "0");
        const partsOf = (crash: number): string[] =>
            Array.from({ length: 96 }, (...[, index]) => longId(crash * 96 + index));
        for (let crash = 0; crash < 100; crash += 1) {
            const parts = ["a", "b", ...partsOf(crash)];
            quarantine.recordCrash({ target: `i-${longId(crash)}`, startedAt: crash, parts }, 68_000 + crash * 20);
            quarantine.recordProven(partsOf(crash), 70_000);
        }
        const loads = Array.from(
            { length: 200 },
            (...[, index]): [string, number, number] => [longId(index), 18, 90_000],
        );
        const encoded = encodeQuarantine(quarantine.report(70_000), 70_000);
        expect(encoded).to.not.equal(undefined);
        const fields = { startedAt: 1, sequence: 1, loads, speeds: [], quarantine: encoded };
        const largest: KnowledgeMessage = { ...message, ...fields, kind: "report" };
        expect(encodeExchangeMessage(largest).length).to.be.below(DATAGRAM_BYTES);
    });
});
