/** The usage of a rule is kept while it matters, and no longer. */
import { type RowOf, rowSchema } from "@damaskvale/core";
import { expect } from "chai";
import { createRuleLimits } from "../rulelimits.js";

const rule = (name: string, limits: object): RowOf<"rule"> =>
    rowSchema.parse({ kind: "rule", name, model: "*", team: "*", target: "*", ...limits }) as RowOf<"rule">;

describe("rule limits", () => {
    it("keep no usage of rules that were removed after their last request", () => {
        const limits = createRuleLimits();
        Array.from({ length: 50 }, (...[, index]) => {
            const removed = rule(`r${index}`, { requestsPerSecond: 5 });
            limits.allows(removed, 0);
            limits.begin(removed, 0)();
        });
        limits.allows(rule("kept", { requestsPerSecond: 5 }), 2_500);
        expect(limits.rulesInUse()).to.equal(1);
    });

    it("keep the usage of a rule whose requests are in progress or of the last second", () => {
        const limits = createRuleLimits();
        const [limited, concurrent] = [rule("a", { requestsPerSecond: 1 }), rule("b", { concurrency: 1 })] as const;
        limits.begin(concurrent, 0);
        limits.begin(limited, 2_000);
        expect([limits.allows(limited, 2_500), limits.allows(concurrent, 2_500)]).to.deep.equal([false, false]);
        expect(limits.allows(limited, 3_100)).to.equal(true);
    });
});
