/**
 * What can be blamed for crashes: a shared part of prompts, or one request, identified by its content. Both are opaque ids;
 * the bounds of the evidence differ, because a request comes again more rarely and concerns fewer callers.
 */

/** Kind of what can be blamed. */
export type SubjectKind = "part" | "request";

/** Bounds of the evidence against one kind of subject. */
export interface SubjectBounds {
    /** Crashes closer than this count as one. */
    readonly crashSpacingMilliseconds: number;
    /** Greatest numbers of crashes without the subject at which the fewest crashes, one more and so on suffice. */
    readonly otherCrashesByNeed: readonly number[];
    /** Most crashes that are ever needed for blame. */
    readonly mostCrashesNeeded: number;
    /** Trials are unlimited in number up to this many crashes; later ones count against the bounds below. */
    readonly maximumCrashesForTrial: number;
    /** Failed late trials until only an operator releases the subject, if it was proven before and if it was not. */
    readonly maximumFailedTrials: { readonly proven: number; readonly unproven: number; };
    /** Late trials of a subject that was never proven, whether or not their results are known. */
    readonly maximumUnprovenTrials: number;
    /** Daemons that may make the first late trial at once. */
    readonly lateTrialDaemons: number;
}

const REQUEST_PREFIX = "request-";

/** Bounds by kind. The platform counts arrivals from the fifth crash of a part on, and from the third of a request. */
export const subjectBounds: Readonly<Record<SubjectKind, SubjectBounds>> = {
    part: {
        // Many targets can end at once by a cause of their own while a part is in use at all of them.
        crashSpacingMilliseconds: 100,
        otherCrashesByNeed: [1, 4, 10],
        mostCrashesNeeded: Number.POSITIVE_INFINITY,
        maximumCrashesForTrial: 3,
        maximumFailedTrials: { proven: 2, unproven: 0 },
        maximumUnprovenTrials: 0,
        lateTrialDaemons: 2,
    },
    request: {
        // A retry reaches the next target as soon as the first one has ended.
        crashSpacingMilliseconds: 20,
        otherCrashesByNeed: [1],
        mostCrashesNeeded: 3,
        maximumCrashesForTrial: 2,
        maximumFailedTrials: { proven: 2, unproven: 1 },
        maximumUnprovenTrials: 2,
        lateTrialDaemons: 1,
    },
};

/** Returns the subject of the requests whose content has this digest, in hexadecimal. */
export function requestSubject(digest: string): string {
    return `${REQUEST_PREFIX}${digest}`;
}

/** Returns the kind of a subject. Ids of prompt parts are hexadecimal, so that none has the prefix of a request. */
export function subjectKindOf(subject: string): SubjectKind {
    return subject.startsWith(REQUEST_PREFIX) ? "request" : "part";
}

/** Returns the bounds of the evidence against a subject. */
export function boundsOf(subject: string): SubjectBounds {
    return subjectBounds[subjectKindOf(subject)];
}
