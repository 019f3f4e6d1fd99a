/** Drain rate of a daemon's queue, measured from the requests that end. */

/** Weight of the newest service time in the average. */
const AVERAGE_WEIGHT = 0.1;

/** Measured drain rate. */
export interface DrainMeter {
    ended(serviceMilliseconds: number): void;
    /** Requests a second that `capacity` places serve; undefined until a request has ended. */
    perSecond(capacity: number): number | undefined;
}

/** Makes a meter. By Little's law, places divided by the mean service time is the drain rate of a busy daemon. */
export function createDrainMeter(): DrainMeter {
    let mean: number | undefined;
    return {
        ended: milliseconds => {
            mean = mean === undefined ? milliseconds : mean + AVERAGE_WEIGHT * (milliseconds - mean);
        },
        perSecond: capacity => mean === undefined ? undefined : capacity * 1_000 / Math.max(1, mean),
    };
}
