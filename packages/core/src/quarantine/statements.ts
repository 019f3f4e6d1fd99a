/** Decisions about parts: which of two is the later one, and when a quarantined part may be tried again. */
import {
    MAXIMUM_CRASHES_FOR_TRIAL,
    MAXIMUM_LATE_TRIALS,
    SOUND_TRIAL_PAUSE_MILLISECONDS,
    TRIAL_PAUSE_GROWTH,
    TRIAL_PAUSE_MILLISECONDS,
    TRIAL_RESULT_MILLISECONDS,
} from "./constants.js";
import type { PartStatement } from "./types.js";

/** An operator's release outweighs this many automatic decisions that a part of the daemons made at the same time. */
const OPERATOR_REVISIONS = 1_000;

/** Returns the revision of a decision that follows `before`. */
export function nextRevision(before: PartStatement | undefined, cause: PartStatement["cause"]): number {
    return (before?.revision ?? 0) + (cause === "operator" ? OPERATOR_REVISIONS : 1);
}

/**
 * Merges two decisions about a part; the same for all daemons. Of two that were made without knowledge of each other,
 * a release wins, because a sound request or an operator stands behind it.
 */
export function mergeStatements(left: PartStatement, right: PartStatement): PartStatement {
    const order = left.revision - right.revision
        || Number(left.state === "released") - Number(right.state === "released")
        || left.crashes - right.crashes
        || left.trials - right.trials
        || Number(left.wasProven) - Number(right.wasProven)
        || left.cause.localeCompare(right.cause);
    if (order !== 0) {
        return order > 0 ? left : right;
    }
    // A message's time makes a statement look newer than it is.
    const [older] = left.statedAt <= right.statedAt ? [left] : [right];
    const trialAt = left.trialAt === undefined || right.trialAt === undefined
        ? left.trialAt ?? right.trialAt
        : Math.min(left.trialAt, right.trialAt);
    return { ...older, trialAt };
}

/** Returns the time of the next automatic trial, or infinity if none is left. */
export function nextTrialAt({ crashes, cause, trials, trialAt, statedAt, wasProven }: PartStatement): number {
    const isLate = crashes > MAXIMUM_CRASHES_FOR_TRIAL;
    if (isLate && (!wasProven || cause === "trial-failed" || trials >= MAXIMUM_LATE_TRIALS)) {
        return Number.POSITIVE_INFINITY;
    }
    if (trialAt !== undefined) {
        return trialAt + TRIAL_RESULT_MILLISECONDS;
    }
    const first = wasProven ? SOUND_TRIAL_PAUSE_MILLISECONDS : TRIAL_PAUSE_MILLISECONDS;
    const growth = isLate ? 0 : Math.max(0, crashes - 2);
    return statedAt + first * TRIAL_PAUSE_GROWTH ** growth;
}
