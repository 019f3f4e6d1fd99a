import { expect } from "chai";
import { confirmGroup } from "../confirm.js";
import type { Observation, Report } from "../types.js";

const group = { group: "g", model: "m", version: "1", members: ["a", "b"], leader: "a", holder: "d", fence: 7 };
const seen = (host: string, fields: Partial<Report> = {}, observedAt = 1_000): [string, Observation] => [host, {
    report: {
        host,
        incarnation: "1",
        group: "g",
        fence: 7,
        model: "m",
        version: "1",
        state: "ready",
        load: { running: 0, queued: 0, ageMilliseconds: 0 },
        ...fields,
    },
    observedAt,
}];

describe("confirmGroup", () => {
    const cases: { guards: string; observations: [string, Observation][]; now: number; reason: string | undefined; }[] =
        [
            {
                guards: "blocking a complete group",
                observations: [seen("a"), seen("b")],
                now: 3_000,
                reason: undefined,
            },
            { guards: "dispatch past the bound", observations: [seen("a"), seen("b")], now: 3_001, reason: "stale" },
            { guards: "dispatch without a member", observations: [seen("a")], now: 1_000, reason: "missing" },
            {
                guards: "dispatch to a member with an old fencing token",
                observations: [seen("a"), seen("b", { fence: 6 })],
                now: 1_000,
                reason: "other-fence",
            },
            {
                guards: "dispatch to a member of another group",
                observations: [seen("a"), seen("b", { group: "h" })],
                now: 1_000,
                reason: "other-group",
            },
            {
                guards: "dispatch to an old version",
                observations: [seen("a"), seen("b", { version: "0" })],
                now: 1_000,
                reason: "other-model",
            },
            {
                guards: "dispatch while loading",
                observations: [seen("a"), seen("b", { state: "loading" })],
                now: 1_000,
                reason: "loading",
            },
        ];

    cases.forEach(({ guards, observations, now, reason }) => {
        it(`prevents ${guards}`, () => {
            const confirmation = confirmGroup(group, new Map(observations), now);
            expect(confirmation.kind === "blocked" ? confirmation.reason : undefined).to.equal(reason);
        });
    });
});
