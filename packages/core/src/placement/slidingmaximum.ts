/** Maximum of the values within a sliding time window. */

/** Values by key, for example serving groups by model. */
export interface SlidingMaximum {
    /** Adds a value; returns the maximum of its key within the window, this one included. */
    add(key: string, value: number, now: number): number;
}

interface Sample {
    readonly value: number;
    readonly at: number;
}

/** Creates an empty sliding maximum with a window in milliseconds. */
export function createSlidingMaximum(windowMilliseconds: number): SlidingMaximum {
    const samples = new Map<string, readonly Sample[]>();
    return {
        add: (key, value, now) => {
            // Smaller values before this one can never be the largest again.
            const larger = (samples.get(key) ?? [])
                .filter(entry => entry.value > value && now - entry.at < windowMilliseconds);
            samples.set(key, [...larger, { value, at: now }]);
            return larger[0]?.value ?? value;
        },
    };
}
