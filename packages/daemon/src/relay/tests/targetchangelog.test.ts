/** How many log events changes of targets make. */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import type { EventFields } from "../../ports/eventlog.js";
import { createTargetChangeLog } from "../targetchangelog.js";

const target = (index: number): Target => ({ id: `host-${index}`, service: "pool", address: "10.0.0.1:1" }) as Target;

const cases: readonly { readonly changes: number; readonly events: number; readonly named: number; }[] = [
    { changes: 1, events: 1, named: 1 },
    { changes: 10, events: 10, named: 10 },
    { changes: 880, events: 1, named: 880 },
];

describe("log of target changes", () => {
    cases.forEach(({ changes, events, named }) =>
        it(`writes ${events} events for ${changes} changes at once and names each target`, async () => {
            const written: EventFields[] = [];
            const record = createTargetChangeLog(() => ({ emit: (...[, fields = {}]) => void written.push(fields) }));
            Array.from({ length: changes }, (...[, index]) => record("registered", target(index)));
            await Promise.resolve();
            const targets = written.flatMap(fields =>
                (fields["targets"] as string[] | undefined) ?? [fields["target"]]
            );
            expect(written.length).to.equal(events);
            expect(new Set(targets).size).to.equal(named);
        })
    );
});
