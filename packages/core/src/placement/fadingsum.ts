/** Sums of observations that fade: each counts half after a half-life, again half after the next one, and so on. */

/** Faded number of observations, the sum of what they state, and when both were last brought up to date. */
export interface FadingSum {
    readonly weight: number;
    readonly logSum: number;
    /** Monotonic milliseconds. */
    readonly at: number;
}

/** Returns a sum as it has faded until now; that of no observations if there is none. */
export function fade(sum: FadingSum | undefined, halfLifeMilliseconds: number, now: number): FadingSum {
    const factor = sum === undefined ? 0 : 0.5 ** ((now - sum.at) / halfLifeMilliseconds);
    return { weight: (sum?.weight ?? 0) * factor, logSum: (sum?.logSum ?? 0) * factor, at: now };
}

/** Returns a sum, faded until now, with one more observation. */
export function addLogarithm({ weight, logSum, at }: FadingSum, logarithm: number): FadingSum {
    return { weight: weight + 1, logSum: logSum + logarithm, at };
}
