/** Time after which the caller of a refused request should try again. */

/** Input of one return time. */
export interface ReturnInput {
    /** Slots of the groups that serve. */
    readonly slots: number;
    /** Time for which a request of mean length occupies a slot, in milliseconds. */
    readonly slotMilliseconds: number;
    /** Number of daemons, which share what becomes free. */
    readonly daemons: number;
    readonly random: () => number;
}

/** Return times of one daemon. Times are monotonic milliseconds. */
export interface ReturnTimes {
    /** Reserves a time for one refused caller; returns the time to wait in milliseconds. */
    reserve(input: ReturnInput, now: number): number;
    /** Records the rate of all arrivals, and whether a request was refused for want of capacity. */
    observe(arrivingPerSecond: number, isShort: boolean, now: number): void;
}

/** In the time of so many answers of mean length, every slot becomes free, and what arrived in a burst has ended. */
const LEAST_RETURN_ANSWERS = 2;
const MOST_RETURN_MILLISECONDS = 10_000;
/** A shortage without a refusal for this long has ended. */
const SHORTAGE_GAP_MILLISECONDS = 2_000;
/** Least share of the capacity that is expected to be left for returning callers. */
const LEAST_SPARE_SHARE = 0.1;
/** Callers return spread over this many times the computed time, so that those refused together do not return together. */
const SPREAD = 1;
/** The usual rate of arrivals is that of this time, so that a burst of seconds changes it little. */
const USUAL_HALF_LIFE_MILLISECONDS = 20_000;

/** Creates the return times of a daemon that has refused nothing. */
export function createReturnTimes(): ReturnTimes {
    let shortSince: number | undefined;
    let lastShortAt = Number.NEGATIVE_INFINITY;
    let usualPerSecond: number | undefined;
    let usualAt = 0;
    let nextAt = Number.NEGATIVE_INFINITY;

    const recordUsual = (perSecond: number, now: number): void => {
        const weight = 1 - 0.5 ** (Math.max(0, now - usualAt) / USUAL_HALF_LIFE_MILLISECONDS);
        usualPerSecond = usualPerSecond === undefined
            ? perSecond
            : usualPerSecond + weight * (perSecond - usualPerSecond);
        usualAt = now;
    };

    return {
        observe: (arrivingPerSecond, isShort, now) => {
            recordUsual(arrivingPerSecond, now);
            if (now - lastShortAt > SHORTAGE_GAP_MILLISECONDS) {
                shortSince = undefined;
            }
            if (isShort) {
                shortSince ??= now;
                lastShortAt = now;
            }
        },
        reserve: ({ slots, slotMilliseconds, daemons, random }, now) => {
            const slotsPerSecond = slots / slotMilliseconds * 1_000;
            const usualSpare = slotsPerSecond - (usualPerSecond ?? slotsPerSecond);
            const spare = Math.max(LEAST_SPARE_SHARE * slotsPerSecond, usualSpare) / Math.max(1, daemons);
            // Nothing says how long a shortage will last; one that has lasted a time lasts about as long again.
            const lasted = now - (shortSince ?? now);
            const earliest = now + Math.max(LEAST_RETURN_ANSWERS * slotMilliseconds, lasted);
            const at = Math.min(now + MOST_RETURN_MILLISECONDS, Math.max(earliest, nextAt));
            nextAt = at + (spare > 0 ? 1_000 / spare : MOST_RETURN_MILLISECONDS);
            return Math.ceil((at - now) * (1 + SPREAD * random()));
        },
    };
}
