/** Ways to decide that a part is the cause of crashes, as the benchmark compares them. */
import { type BlameTest, countCrashes, createPartQuarantine, type PartQuarantine } from "@damaskvale/core";

/** One way, with the name under which its figures are listed. */
export interface BlameMethod {
    readonly name: string;
    readonly baseline: boolean;
    readonly create: () => PartQuarantine;
}

/** Half-life of the score of a crash. */
const SCORE_HALF_LIFE_MILLISECONDS = 30_000;
const SCORE_THRESHOLD = 2.5;
/** Odds of a false blame that the sequential test accepts. */
const LOG_ODDS = Math.log(1_000);
/** Prior share of crashes at which a sound part is a candidate, as a number of crashes with and without it. */
const PRIOR = { with: 1, all: 20 };
const INTERSECTION = 3;

const withTest = (name: string, test: BlameTest): BlameMethod => ({
    name,
    baseline: true,
    create: () => createPartQuarantine({ test }),
});

const score: BlameTest = ({ crashTimes, otherCrashes }) => {
    const last = crashTimes.at(-1) ?? 0;
    const sum = crashTimes.reduce((total, at) => total + 0.5 ** ((last - at) / SCORE_HALF_LIFE_MILLISECONDS), 0);
    return sum / (1 + otherCrashes / 10) >= SCORE_THRESHOLD;
};

/** Sum of the logarithms of how much likelier each crash is if the part is the cause. */
const sequentialRatio: BlameTest = ({ crashTimes, otherCrashes, wasProven }) => {
    const share = PRIOR.with / PRIOR.all * (1 + otherCrashes / PRIOR.all);
    return crashTimes.length * -Math.log(Math.min(0.9, share)) >= LOG_ODDS * (wasProven ? 2 : 1);
};

const withoutProofs = (): PartQuarantine => {
    const quarantine = createPartQuarantine();
    return {
        recordProven: () => [],
        recordCrash: (crash, now) => quarantine.recordCrash(crash, now),
        withdrawCrash: (target, startedAt, now) => quarantine.withdrawCrash(target, startedAt, now),
        check: (parts, mayTry, now) => quarantine.check(parts, mayTry, now),
        release: (part, now) => quarantine.release(part, now),
        report: now => quarantine.report(now),
        merge: (report, now) => quarantine.merge(report, now),
        quarantined: () => quarantine.quarantined(),
    };
};

/** The chosen way first. */
export const blameMethods: readonly BlameMethod[] = [
    { name: "damaskvale", baseline: false, create: () => createPartQuarantine() },
    withTest("two crashes", ({ crashTimes }) => crashTimes.length >= 2),
    withTest("three crashes", ({ crashTimes }) => crashTimes.length >= 3),
    withTest("score with decay", score),
    withTest(
        "intersection of three crashes",
        ({ crashTimes, otherCrashes }) => crashTimes.length >= INTERSECTION && otherCrashes === 0,
    ),
    withTest("sequential ratio", sequentialRatio),
    withTest("no wait for proofs", evidence => countCrashes({ ...evidence, wasProven: false })),
    withTest(
        "no doubt by other crashes",
        evidence => countCrashes({ ...evidence, otherCrashes: 0 }),
    ),
    { name: "without proofs", baseline: true, create: withoutProofs },
];
