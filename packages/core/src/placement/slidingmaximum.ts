/** Largest of the values that were noted lately. */

/** Values by key, for example serving groups by model. */
export interface SlidingMaximum {
    /** Notes a value; returns the largest one of its key within the memory, this one included. */
    add(key: string, value: number, now: number): number;
}

interface Noted {
    readonly value: number;
    readonly at: number;
}

/** Makes an empty record that remembers values for a time. */
export function createSlidingMaximum(memoryMilliseconds: number): SlidingMaximum {
    const noted = new Map<string, readonly Noted[]>();
    return {
        add: (key, value, now) => {
            // Smaller values before this one can never be the largest again.
            const larger = (noted.get(key) ?? [])
                .filter(entry => entry.value > value && now - entry.at < memoryMilliseconds);
            noted.set(key, [...larger, { value, at: now }]);
            return larger[0]?.value ?? value;
        },
    };
}
