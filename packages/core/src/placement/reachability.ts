/**
 * Belief of one daemon about whether it reaches any target. A single target that fails says nothing of the path; several
 * that fail one after the other, with no sign of any other one between, mean that this daemon is cut off.
 */

/** What one daemon knows about its path to the targets. Times are monotonic milliseconds. */
export interface Reachability {
    /** Records bytes from a target, whichever it is; returns whether targets were missed since one was last reached. */
    recordReached(now: number): boolean;
    /** Records a target that did not accept a connection, lost one or fell silent. */
    recordMissed(target: string): void;
    /** Whether targets were missed since one was last reached, `silenceMilliseconds` ago or longer. */
    isDoubtful(silenceMilliseconds: number, now: number): boolean;
    /** Whether no target is reached. */
    isCutOff(): boolean;
}

/** Targets that are missed in a row by a daemon that is cut off, if there are so many. */
const MISSED_TARGETS = 3;
/** A service of one target can lose it by a cause of its own. */
const LEAST_MISSED_TARGETS = 2;

/** Creates the belief of a daemon that reaches its targets; `knownTargets` returns their number. */
export function createReachability(knownTargets: () => number): Reachability {
    const missed = new Set<string>();
    let reachedAt = Number.NEGATIVE_INFINITY;
    return {
        recordReached: now => {
            const isNews = missed.size > 0;
            reachedAt = now;
            missed.clear();
            return isNews;
        },
        recordMissed: target => void missed.add(target),
        isDoubtful: (silenceMilliseconds, now) => missed.size > 0 && now - reachedAt >= silenceMilliseconds,
        isCutOff: () => missed.size >= Math.max(LEAST_MISSED_TARGETS, Math.min(MISSED_TARGETS, knownTargets())),
    };
}
