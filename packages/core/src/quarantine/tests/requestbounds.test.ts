/** The identity of a request is blamed by the third crash, and reaches targets in few trials afterwards. */
import { expect } from "chai";
import { createPartQuarantine } from "../quarantine.js";
import { requestSubject } from "../subjects.js";
import { trialDaemons } from "../trials.js";
import type { PartQuarantine, PartStatement } from "../types.js";

const REQUEST = requestSubject("ab12");
const OTHER = requestSubject("cd34");
const PART = "5c1e";
const POPULAR = "a0";
const HOUR = 3_600_000;
const never = (): boolean => false;
const crash = (quarantine: PartQuarantine, process: number, subjects: readonly string[], now: number): unknown =>
    quarantine.recordCrash({ target: `t${process}`, startedAt: 1_000 + process, parts: subjects }, now);

const blameCases: readonly {
    readonly guards: string;
    readonly given: (quarantine: PartQuarantine) => unknown;
    readonly refused: readonly string[];
}[] = [
    {
        guards: "blaming a request for one crash",
        given: quarantine => crash(quarantine, 1, [REQUEST], 0),
        refused: [],
    },
    {
        guards: "counting the crash of a retry, which comes soon after the first, as the same one",
        given: quarantine => [crash(quarantine, 1, [REQUEST], 0), crash(quarantine, 2, [REQUEST], 90)],
        refused: [REQUEST],
    },
    {
        guards: "counting connections that were lost in the same moment as two crashes",
        given: quarantine => [crash(quarantine, 1, [REQUEST], 0), crash(quarantine, 2, [REQUEST], 5)],
        refused: [],
    },
    {
        guards: "waiting for a fourth crash because many targets crash without the request",
        given: quarantine => [
            ...[11, 12, 13, 14, 15, 16, 17, 18].map(process => crash(quarantine, process, [], process)),
            ...[1, 2, 3].map(process => crash(quarantine, process, [REQUEST], 1_000 * process)),
        ],
        refused: [REQUEST],
    },
    {
        guards: "blaming a request that was there at two of many crashes",
        given: quarantine => [
            ...[11, 12, 13].map(process => crash(quarantine, process, [], process)),
            ...[1, 2].map(process => crash(quarantine, process, [REQUEST], 1_000 * process)),
        ],
        refused: [],
    },
    {
        guards: "blaming a popular request for crashes of many targets at once",
        given: quarantine => [
            quarantine.recordProven([REQUEST], 0),
            ...[1, 2, 3, 4].map(process => crash(quarantine, process, [REQUEST], 1_000 + 100 * process)),
            quarantine.recordProven([REQUEST], 2_500),
        ],
        refused: [],
    },
    {
        guards: "blaming a prompt part for the crashes of one request with it",
        given: quarantine => [
            crash(quarantine, 1, [PART, REQUEST], 0),
            crash(quarantine, 2, [PART, REQUEST], 1_000),
        ],
        refused: [REQUEST],
    },
    {
        guards: "releasing a prompt part because a popular one, blamed for a moment, was in all its crashes",
        given: quarantine => [
            quarantine.recordProven([POPULAR], 0),
            ...[1, 2, 3].map(process => crash(quarantine, process, [POPULAR, PART], 1_000 * process)),
            ...[4, 5, 6, 7, 8].map(process => crash(quarantine, process, [POPULAR], 1_000 * process)),
            quarantine.recordProven([POPULAR], 8_800),
        ],
        refused: [PART],
    },
    {
        guards: "missing a prompt part because one of its requests was blamed first",
        given: quarantine => [
            crash(quarantine, 1, [PART, REQUEST], 0),
            crash(quarantine, 2, [PART, REQUEST], 1_000),
            crash(quarantine, 3, [PART, OTHER], 2_000),
        ],
        refused: [PART],
    },
];

const blamed: PartStatement = {
    part: REQUEST,
    revision: 1,
    state: "quarantined",
    statedAt: 0,
    crashes: 3,
    cause: "crashes",
    trials: 0,
    wasProven: false,
    isAmbiguous: false,
};
const trialCases: readonly {
    readonly guards: string;
    readonly given: Partial<PartStatement>;
    readonly daemons: number;
}[] = [
    { guards: "trials by several daemons after the third crash", given: {}, daemons: 1 },
    { guards: "a sound request that is refused for ever", given: { wasProven: true }, daemons: 1 },
    { guards: "a trial after a failed one", given: { cause: "trial-failed", trials: 1 }, daemons: 0 },
    { guards: "trials without end whose results are lost", given: { trials: 2, trialAt: 0 }, daemons: 0 },
    {
        guards: "a third failed trial of a request that was sound",
        given: { wasProven: true, cause: "trial-failed", trials: 2 },
        daemons: 0,
    },
];

describe("quarantine of a request", () => {
    blameCases.forEach(({ guards, given, refused }) =>
        it(`guards against ${guards}`, () => {
            const quarantine = createPartQuarantine();
            given(quarantine);
            const isRefused = (subject: string): boolean =>
                quarantine.check([subject], never, 9_000).kind === "refused";
            expect([REQUEST, OTHER, PART].filter(isRefused)).to.deep.equal(refused);
        })
    );

    trialCases.forEach(({ guards, given, daemons }) =>
        it(`guards against ${guards}`, () => expect(trialDaemons({ ...blamed, ...given }, HOUR)).to.equal(daemons))
    );

    it("ends with a trial that is answered at once, at a daemon that does not know the crashes", () => {
        const quarantine = createPartQuarantine();
        quarantine.merge({ crashes: [], proven: [], statements: [blamed] }, 0);
        expect(quarantine.check([REQUEST], () => true, HOUR).kind).to.equal("trial");
        quarantine.recordProven([REQUEST], HOUR + 90, HOUR + 80);
        expect(quarantine.quarantined()).to.deep.equal([]);
    });
});
