/** The error of a request that no target ran tells what the targets did. */
import { expect } from "chai";
import { attemptsFailedError, type FailedRun } from "../run.js";

const refused = { kind: "refused", message: "at capacity" } as const;

const cases: readonly { guards: string; run: FailedRun; code: string; message: string; }[] = [
    {
        guards: "that all targets refused although only the last one did",
        run: { tried: ["a", "b"], refusals: 1, mayHaveRun: false, lastFailure: refused },
        code: "no_ready_group",
        message: "The last of the targets that were tried refused the request before starting it; none has run it.",
    },
    {
        guards: "less than that all targets refused",
        run: { tried: ["a", "b"], refusals: 2, mayHaveRun: false, lastFailure: refused },
        code: "no_ready_group",
        message: "All targets that were tried refused the request before starting it; none has run it.",
    },
    {
        guards: "that the request was refused although an earlier target may have run it",
        run: { tried: ["a", "b"], refusals: 1, mayHaveRun: true, lastFailure: refused },
        code: "target_failed",
        message: "No target completed the request: at capacity.",
    },
];

describe("error after failed attempts", () => {
    cases.forEach(({ guards, run, code, message }) =>
        it(`does not say ${guards}`, () => {
            expect(attemptsFailedError(run)).to.include({ code, message });
        })
    );
});
