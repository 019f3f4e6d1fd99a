/** Guards against evacuations that messages between daemons lose, and against messages that builds before do not read. */
import type { EvacuationStatement } from "@damaskvale/core";
import { expect } from "chai";
import { decodeExchangeMessage, encodeDatagram } from "../exchangemessage.js";
import { applyKnowledge, encodeKnowledge, type KnowledgeParts } from "../knowledge.js";

const partsWith = (
    evacuations: readonly EvacuationStatement[],
    onEvacuation: KnowledgeParts["onEvacuation"] = () => undefined,
): KnowledgeParts => ({
    evacuations: () => evacuations,
    onEvacuation,
    limits: () => [],
    onLimit: () => undefined,
    leaving: () => [],
    onLeaving: () => undefined,
    quarantine: () => ({}) as never,
    hasQuarantineUpdates: () => false,
    onQuarantine: () => undefined,
    configurationVersion: () => 1,
    newestConfiguration: () => 1,
    onNewerConfiguration: () => undefined,
    takesRequests: () => true,
});
const cases: readonly (readonly EvacuationStatement[])[] = [
    [],
    [{ dataCentre: "b", evacuated: true, era: 1, offset: 7 }],
    [{ dataCentre: "b", evacuated: false, era: 1, offset: 9 }, { dataCentre: "a", evacuated: true, era: 1, offset: 8 }],
];

describe("evacuations in messages between daemons", () => {
    cases.forEach(statements => {
        it(`arrive as they were stated (${statements.length})`, () => {
            const learned: EvacuationStatement[] = [];
            const fields = encodeKnowledge("d1", partsWith(statements), 0, false);
            const bytes = encodeDatagram({ kind: "event", ...fields, suspects: [], memberships: [] });
            const decoded = decodeExchangeMessage(bytes);
            const message = decoded.kind === "message" ? decoded.message : expect.fail(decoded.reason);
            const receiver = partsWith([], (statement, daemon) => {
                expect(daemon).to.equal("d1");
                learned.push(statement);
            });
            applyKnowledge(message as never, receiver, 0);
            expect(learned).to.deep.equal(statements);
        });
    });
});
