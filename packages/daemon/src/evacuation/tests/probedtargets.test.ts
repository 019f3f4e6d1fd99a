/**
 * Guards against a daemon that reaches no target but those of an evacuated data centre, takes them for a sign that it is not
 * cut off, and keeps requests that another daemon could serve.
 */
import type { Target } from "@damaskvale/core";
import { expect } from "chai";
import { targetsToProbe } from "../../relay/targetreachability.js";

const target = (id: string, dataCentre: string, fields: Partial<Target> = {}): Target =>
    ({ id, dataCentre, domain: dataCentre, registered: true, draining: false, ...fields }) as Target;
const targets = [
    target("a-host", "a"),
    target("a-plain", "a", { domain: undefined }),
    target("b-host", "b"),
    target("b-leaving", "b", { draining: true }),
    target("c-plain", "c", { domain: undefined }),
];

const cases: readonly { readonly evacuated: readonly string[]; readonly probed: readonly string[]; }[] = [
    { evacuated: [], probed: ["a-host", "b-host"] },
    { evacuated: ["a"], probed: ["b-host"] },
    { evacuated: ["a", "b"], probed: ["c-plain"] },
    // With none left, the others still show whether the network works.
    { evacuated: ["a", "b", "c"], probed: ["a-host", "b-host"] },
];

describe("targets that show whether a daemon is cut off", () => {
    cases.forEach(({ evacuated, probed }) => {
        it(`are ${probed.join()} while [${evacuated.join()}] is evacuated`, () => {
            const found = targetsToProbe({ targets: () => targets, isEvacuated: name => evacuated.includes(name) });
            expect(found.map(({ id }) => id)).to.deep.equal(probed);
        });
    });
});
