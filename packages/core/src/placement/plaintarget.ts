/**
 * Chooses the plain target of a request, by the requests in progress that this daemon knows, data centre and speed, and by the
 * share of requests that targets fail where that is known.
 */
import { type OutlierCandidate, withoutOutliers } from "../outliers/outlieravoidance.js";

/** A target that may be chosen. */
export interface PlainTargetCandidate extends OutlierCandidate {
    readonly id: string;
    readonly dataCentre: string;
    /** Requests of this daemon in progress at the target. */
    readonly inProgress: number;
    /** Time until the target takes a request of this daemon, in milliseconds. */
    readonly waitMilliseconds: number;
    /** How many times as long as the others it takes, as daemons observed lately; 1 if nothing says so. */
    readonly slowness: number;
}

/** Additional cost of a target in another data centre, in requests in progress. */
const REMOTE_COST = 1.5;

/** Exponent of the slowness in the cost: what others send to a slow target is not known, and waits there as well. */
const SLOWNESS_EXPONENT = 2;

/**
 * Returns the id of the candidate with the least load that takes a request now, or `undefined` if none does. `random` returns
 * a number from 0 to below 1, which decides between equal ones, so that daemons do not all choose the same target.
 */
export function choosePlainTarget(
    candidates: readonly PlainTargetCandidate[],
    dataCentre: string,
    random: () => number,
): string | undefined {
    const ready = candidates.filter(({ waitMilliseconds }) => waitMilliseconds === 0);
    return withoutOutliers(ready, random)
        .map(candidate => {
            const remoteCost = candidate.dataCentre === dataCentre ? 0 : REMOTE_COST;
            const queueCost = (candidate.inProgress + 1) * candidate.slowness ** SLOWNESS_EXPONENT;
            return { id: candidate.id, cost: queueCost + remoteCost + random() };
        })
        .sort((left, right) => left.cost - right.cost)[0]?.id;
}
