/** Tests that decide, from the crashes of a part, whether the part is the cause. */
import { CRASHES_FOR_TIMED_BLAME, SOUND_CRASH_SPAN_MILLISECONDS, TIMED_BLAME_MILLISECONDS } from "./constants.js";
import { subjectBounds, type SubjectKind } from "./subjects.js";

/** What is known about a part. */
export interface PartEvidence {
    readonly kind: SubjectKind;
    /** Times of the crashes since the part was last proven in which it was a candidate, oldest first. */
    readonly crashTimes: readonly number[];
    /** Number of recent crashes in which it was no candidate. */
    readonly otherCrashes: number;
    /** Whether the part was proven some time before these crashes. */
    readonly wasProven: boolean;
    /** Whether another part was a candidate in the same crashes, so that either can be the cause. */
    readonly isAmbiguous: boolean;
    readonly now: number;
}

/** Returns whether the part is to be blamed. */
export type BlameTest = (evidence: PartEvidence) => boolean;

/** Fewest crashes for which a part is blamed. */
export const LEAST_CRASHES = 2;

/** Counts crashes since the last proof. More are needed the more crashes have other causes. */
export const countCrashes: BlameTest = evidence => {
    const { kind, crashTimes, otherCrashes, wasProven, isAmbiguous } = evidence;
    const { crashSpacingMilliseconds, otherCrashesByNeed, mostCrashesNeeded } = subjectBounds[kind];
    const weighed = LEAST_CRASHES
        + otherCrashesByNeed.filter(most => otherCrashes > most).length
        + (isAmbiguous ? 1 : 0);
    return countSpaced(crashTimes, crashSpacingMilliseconds) >= Math.min(weighed, mostCrashesNeeded)
        && (!wasProven || isProofMissed(evidence));
};

/** Whether a part that was sound would have been proven again if it were still. */
export function isProofMissed({ crashTimes, now }: PartEvidence): boolean {
    const first = crashTimes[0] ?? now;
    const span = (crashTimes.at(-1) ?? first) - first;
    return span >= SOUND_CRASH_SPAN_MILLISECONDS
        || crashTimes.length >= CRASHES_FOR_TIMED_BLAME && now - first >= TIMED_BLAME_MILLISECONDS;
}

/** Counts crashes; one that is closer than the spacing to the last counted one does not count. */
export function countSpaced(times: readonly number[], spacingMilliseconds: number): number {
    return times.reduce<{ readonly count: number; readonly last: number; }>(
        (counted, at) => at - counted.last < spacingMilliseconds ? counted : { count: counted.count + 1, last: at },
        { count: 0, last: Number.NEGATIVE_INFINITY },
    ).count;
}
