/**
 * Epochs of new groups: each is above all that this daemon knows of, also after the change of an owner. A host may have seen
 * a higher epoch, of a group that no longer exists; it then refuses to join, and the epochs are raised.
 */
import type { RelayState } from "../relay/statetypes.js";

/** Epochs of one planner. */
export interface Epochs {
    /** Returns the epoch of a new group of an owner with this fencing token. */
    next(fencingToken: number): number;
    /** Records the epoch of a group that is ordered. */
    record(epoch: number): void;
    /** Raises the next epochs well above one that a host refused as too low. */
    raiseAbove(refusedEpoch: number): void;
}

/**
 * Epochs begin at the fencing token and rise with each group. One that is further above it was ordered by no planner, and is
 * not exceeded.
 */
const EPOCHS_PER_TOKEN = 1_000_000_000;
/** Added to a refused epoch, since a refusal does not tell which epoch the host has seen. */
const REFUSED_EPOCH_STEP = 1_000;

/** Creates the epochs. Those of the targets are searched once until something changes. */
export function createEpochs(state: Pick<RelayState, "targets" | "onChange">): Epochs {
    let highest = 0;
    let isSearched = false;
    state.onChange(() => {
        isSearched = false;
    });
    return {
        next: fencingToken => {
            const seen = isSearched
                ? []
                : state.targets().map(({ membership }) => membership?.epoch ?? 0)
                    .filter(epoch => epoch <= fencingToken + EPOCHS_PER_TOKEN);
            isSearched = true;
            highest = Math.max(highest, fencingToken, ...seen);
            return highest + 1;
        },
        record: epoch => {
            highest = Math.max(highest, epoch);
        },
        raiseAbove: refusedEpoch => {
            highest = Math.max(highest, refusedEpoch + REFUSED_EPOCH_STEP);
        },
    };
}
