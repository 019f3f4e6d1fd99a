/** Drain rate of a daemon's queue, measured from finished requests. */

/** Weight of the newest service time in the average. */
const AVERAGE_WEIGHT = 0.1;

/** Measured drain rate. */
export interface DrainMeter {
    recordCompletion(serviceMilliseconds: number): void;
    /** Requests per second that `capacity` slots serve, or undefined until a request has finished. */
    perSecond(capacity: number): number | undefined;
}

/** Creates a meter. By Little's law, the drain rate of a busy daemon is its slots divided by the mean service time. */
export function createDrainMeter(): DrainMeter {
    let mean: number | undefined;
    return {
        recordCompletion: milliseconds => {
            mean = mean === undefined ? milliseconds : mean + AVERAGE_WEIGHT * (milliseconds - mean);
        },
        perSecond: capacity => mean === undefined ? undefined : capacity * 1_000 / Math.max(1, mean),
    };
}
