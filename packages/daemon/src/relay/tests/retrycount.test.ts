/** Requests that reach targets beyond the first one take a retry from the budget; attempts without a connection do not. */
import { expect } from "chai";
import { createPlainRelay } from "../plainrelay.js";
import { createStreamRelay } from "../streamrelay.js";
import { createRelayFixture, type RelayFixture } from "./fixture.js";

/** What becomes of an attempt: the connection is refused, or it breaks when the request has been written. */
type Attempt = "unreached" | "reached";

interface Case {
    readonly attempts: readonly Attempt[];
    readonly retries: number;
    /** Number of attempts that are made. */
    readonly sends: number;
}

const cases: readonly Case[] = [
    { attempts: ["unreached", "unreached", "reached", "reached"], retries: 0, sends: 3 },
    { attempts: ["reached", "reached", "reached", "reached"], retries: 0, sends: 1 },
    { attempts: ["unreached", "reached", "reached", "reached"], retries: 1, sends: 3 },
    { attempts: ["reached", "unreached", "reached", "reached"], retries: 1, sends: 2 },
    { attempts: ["reached", "unreached", "reached", "reached"], retries: 2, sends: 3 },
    { attempts: ["unreached", "unreached", "unreached", "unreached"], retries: 0, sends: 4 },
];

const kinds: Readonly<Record<"repeatable" | "stream", (fixture: RelayFixture) => void>> = {
    repeatable: ({ context, parts }) => createPlainRelay(context, parts, () => undefined).start(),
    stream: ({ context, parts }) => createStreamRelay(context, parts, () => undefined).start(),
};

describe("retries of a request", () => {
    (["repeatable", "stream"] as const).forEach(kind =>
        cases.forEach(({ attempts, retries, sends }) =>
            it(`of kind ${kind} with ${retries} retries are ${sends} attempts when they are ${attempts.join()}`, () => {
                const targets = ["a", "b", "c", "d"];
                const fixture = createRelayFixture({ kind, resumable: true, maximumAttempts: 4, targets, retries });
                kinds[kind](fixture);
                attempts.forEach((attempt, index) => {
                    const receiver = fixture.sends[index]?.receiver;
                    if (attempt === "reached") {
                        receiver?.sent();
                    }
                    receiver?.failed(new Error(attempt));
                });
                const reached = attempts.slice(0, fixture.sends.length).filter(attempt => attempt === "reached");
                expect(fixture.sends.length).to.equal(sends);
                expect(reached.length).to.be.at.most(1 + retries);
            })
        )
    );
});
