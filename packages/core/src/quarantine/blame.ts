/** Tests that decide, from the crashes of a part, whether the part is the cause. */
import {
    CRASH_SPACING_MILLISECONDS,
    CRASHES_FOR_TIMED_BLAME,
    SOUND_CRASH_SPAN_MILLISECONDS,
    TIMED_BLAME_MILLISECONDS,
} from "./constants.js";

/** What is known about a part. */
export interface PartEvidence {
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

/** Greatest numbers of other crashes at which 2, 3 and 4 crashes suffice. */
const OTHER_CRASHES_BY_NEED = [1, 4, 10];
/** Fewest crashes for which a part is blamed. */
export const LEAST_CRASHES = 2;

/** Counts crashes since the last proof. More are needed the more crashes have other causes. */
export const countCrashes: BlameTest = evidence => {
    const { crashTimes, otherCrashes, wasProven, isAmbiguous } = evidence;
    const needed = LEAST_CRASHES
        + OTHER_CRASHES_BY_NEED.filter(most => otherCrashes > most).length
        + (isAmbiguous ? 1 : 0);
    return countSpaced(crashTimes) >= needed && (!wasProven || isProofMissed(evidence));
};

/** Whether a part that was sound would have been proven again if it were still. */
export function isProofMissed({ crashTimes, now }: PartEvidence): boolean {
    const first = crashTimes[0] ?? now;
    const span = (crashTimes.at(-1) ?? first) - first;
    return span >= SOUND_CRASH_SPAN_MILLISECONDS
        || crashTimes.length >= CRASHES_FOR_TIMED_BLAME && now - first >= TIMED_BLAME_MILLISECONDS;
}

/** Counts crashes, those that are close to the last counted one not. */
export function countSpaced(times: readonly number[]): number {
    return times.reduce<{ readonly count: number; readonly last: number; }>(
        (counted, at) =>
            at - counted.last < CRASH_SPACING_MILLISECONDS ? counted : { count: counted.count + 1, last: at },
        { count: 0, last: Number.NEGATIVE_INFINITY },
    ).count;
}
