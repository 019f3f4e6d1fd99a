/**
 * Which daemons may try a quarantined part again. A single one at first, so that one request reaches a target; more of
 * them while none has had such a request, because the requests of a rare part reach each daemon rarely.
 */
import { rendezvous } from "../membership/rendezvous.js";
import { MAXIMUM_TRIAL_DAEMONS, TRIAL_STAGE_MILLISECONDS } from "./constants.js";
import { isLateTrial, nextTrialAt } from "./statements.js";
import { boundsOf } from "./subjects.js";
import type { PartStatement } from "./types.js";

/** What a daemon knows of the others when it decides whether it may try a part. */
export interface TrialFleet {
    readonly self: string;
    /** Other daemons that reported recently. */
    readonly reachable: readonly string[];
    /** Number of all daemons, including this one. */
    readonly known: number;
}

/** Returns how many daemons, the first ones in the order of their ranks, may try the part now. */
export function trialDaemons(statement: PartStatement, now: number): number {
    const overdue = now - nextTrialAt(statement);
    if (overdue < 0) {
        return 0;
    }
    const daemons = Math.min(2 ** Math.floor(overdue / TRIAL_STAGE_MILLISECONDS), MAXIMUM_TRIAL_DAEMONS);
    return isLateTrial(statement) ? Math.min(daemons, lateDaemons(statement)) : daemons;
}

function lateDaemons({ part, trials }: PartStatement): number {
    return Math.max(1, boundsOf(part).lateTrialDaemons - trials);
}

/**
 * Returns the rank of a daemon among those that may try a part, 0 for the first. A daemon that reaches less than half of
 * the others has none, because another part of the fleet may try the part too.
 */
export function trialRank(part: string, { self, reachable, known }: TrialFleet): number {
    const daemons = [self, ...reachable];
    return daemons.length * 2 > known
        ? rendezvous(part, daemons, daemons.length).indexOf(self)
        : Number.POSITIVE_INFINITY;
}
