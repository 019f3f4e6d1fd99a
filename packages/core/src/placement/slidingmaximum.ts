/** Maximum of the values within a sliding time window. */

/** Sliding maximum by key, for example of the number of serving groups by model. */
export interface SlidingMaximum {
    /** Adds a value and returns the maximum of its key within the window, including this value. */
    add(key: string, value: number, now: number): number;
}

interface Sample {
    readonly value: number;
    readonly addedAt: number;
}

/** Creates an empty sliding maximum with a window in milliseconds. */
export function createSlidingMaximum(windowMilliseconds: number): SlidingMaximum {
    const samplesByKey = new Map<string, readonly Sample[]>();
    return {
        add: (key, value, now) => {
            // An earlier value that is not larger can never be the maximum again.
            const larger = (samplesByKey.get(key) ?? [])
                .filter(entry => entry.value > value && now - entry.addedAt < windowMilliseconds);
            samplesByKey.set(key, [...larger, { value, addedAt: now }]);
            return larger[0]?.value ?? value;
        },
    };
}
