/** Options of the router and their defaults. */
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Options of `createRouter`. Times are milliseconds, shares are between 0 and 1. */
export interface RouterOptions {
    /** Seeded generator, which the router advances. Each daemon needs its own seed. */
    readonly random: RandomGenerator;
    /** Minimum number of candidates drawn at random for each choice. */
    readonly choices?: number;
    /** Load that a complete prefix hit outweighs, in requests. */
    readonly prefixBonus?: number;
    /** Capacity of the prefix map in blocks. Its memory is reserved at once; use a small value for a plain service. */
    readonly prefixBlocks?: number;
    /** Time after which a new or returning target has its full weight. */
    readonly slowStartMilliseconds?: number;
    /** Maximum share of the candidates that are ejected at a time; of two or more candidates, one always may be. */
    readonly maximumEjectedShare?: number;
    /** Duration of a target's first ejection; it doubles with each further ejection. */
    readonly ejectionMilliseconds?: number;
    readonly maximumEjectionMilliseconds?: number;
    /** Time without an ejection after which one earlier ejection no longer counts. */
    readonly ejectionDecayMilliseconds?: number;
    /** Number of consecutive failures after which a target is ejected. */
    readonly failuresToEject?: number;
    /** A target is a straggler if its mean first-token time exceeds the median of the targets by this factor. */
    readonly stragglerFactor?: number;
    /** Minimum difference between the mean first-token time of a straggler and the median. */
    readonly stragglerMarginMilliseconds?: number;
    /** Number of first-token times that are needed to compare a target with the median. */
    readonly stragglerSamples?: number;
}

/** Options with all defaults applied. */
export type CompleteRouterOptions = Required<RouterOptions>;

const defaults: Omit<CompleteRouterOptions, "random"> = {
    choices: 2,
    prefixBonus: 2,
    prefixBlocks: 65_536,
    slowStartMilliseconds: 10_000,
    maximumEjectedShare: 0.34,
    ejectionMilliseconds: 5_000,
    maximumEjectionMilliseconds: 300_000,
    ejectionDecayMilliseconds: 60_000,
    failuresToEject: 3,
    stragglerFactor: 3,
    stragglerMarginMilliseconds: 500,
    stragglerSamples: 10,
};

/** Applies the defaults to the options that are not given. */
export function completeRouterOptions(options: RouterOptions): CompleteRouterOptions {
    return { ...defaults, ...options };
}
