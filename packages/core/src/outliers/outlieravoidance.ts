/**
 * Leaves out targets that fail more of their requests than the others, for most requests. What the others would have to take
 * is weighed against it: a request that waits behind full slots is late, and one that finds no room is refused.
 */

/** A target of a service, with what is known about its failures and its load. */
export interface OutlierCandidate {
    /** Estimated share of requests that it fails; absent or 0 if none is known. */
    readonly failureShare?: number;
    /** Requests in progress at the target, of all daemons as far as known. */
    readonly totalInProgress?: number;
    /** Requests that it processes at once. */
    readonly slots?: number;
}

/** An excess up to here changes nothing: it is within what single failures among few requests give. */
const TOLERATED_EXCESS = 0.08;
/** From this excess on, a target gets only the trial share, or what the others have no room for. */
const FULL_EXCESS = 0.16;
/** Share of a failing target's even part of the requests that it still gets, which shows when it recovers. */
const TRIAL_SHARE = 0.05;
/** Share of the slots of the other targets up to which they take over the requests of failing ones. */
const USABLE_SHARE_OF_SLOTS = 0.95;

/**
 * Returns the candidates among which a request's target is chosen; `random` returns a number from 0 to below 1, and is called
 * only if a candidate fails more often than another. A candidate that fails least is always among them.
 */
export function withoutOutliers<Candidate extends OutlierCandidate>(
    candidates: readonly Candidate[],
    random: () => number,
): readonly Candidate[] {
    const least = Math.min(...candidates.map(({ failureShare = 0 }) => failureShare));
    const excessOf = ({ failureShare = 0 }: OutlierCandidate): number => failureShare - least;
    if (candidates.every(candidate => excessOf(candidate) <= TOLERATED_EXCESS)) {
        return candidates;
    }
    const neededShare = shareThatOthersCannotTake(
        candidates,
        candidates.filter(candidate => excessOf(candidate) <= TOLERATED_EXCESS),
    );
    return candidates.filter(candidate => {
        const excess = excessOf(candidate);
        return excess <= TOLERATED_EXCESS || random() < Math.max(shareByExcess(excess), neededShare);
    });
}

/** Returns the part of its even share that a target gets for its excess of failures alone. */
function shareByExcess(excess: number): number {
    const share = (FULL_EXCESS - excess) / (FULL_EXCESS - TOLERATED_EXCESS);
    return Math.max(TRIAL_SHARE, Math.min(1, share));
}

/**
 * Returns the part of their even share that the failing targets must get so that the slots of the sound ones suffice. The
 * requests in progress tell the work that is offered to all, also before any is moved.
 */
function shareThatOthersCannotTake(all: readonly OutlierCandidate[], sound: readonly OutlierCandidate[]): number {
    const inProgress = all.reduce((sum, { totalInProgress = 0 }) => sum + totalInProgress, 0);
    const slots = all.reduce((sum, candidate) => sum + slotsOf(candidate), 0);
    const soundSlots = sound.reduce((sum, candidate) => sum + slotsOf(candidate), 0);
    const excessWork = inProgress - USABLE_SHARE_OF_SLOTS * soundSlots;
    const evenWork = inProgress * (slots - soundSlots) / slots;
    return excessWork > 0 && evenWork > 0 ? Math.min(1, excessWork / evenWork) : 0;
}

function slotsOf({ slots = 1 }: OutlierCandidate): number {
    return slots;
}
