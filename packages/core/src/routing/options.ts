/** Options of the router with their defaults. */
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Options of `createRouter`. Times are milliseconds, shares are between 0 and 1. */
export interface RouterOptions {
    /** Seeded generator; the router advances it. Each daemon needs its own seed. */
    readonly random: RandomGenerator;
    /** Least number of candidates drawn at random for each choice. */
    readonly choices?: number;
    /** Requests of load that a complete prefix hit outweighs. */
    readonly prefixBonus?: number;
    /** Prefix blocks remembered over all targets; memory for them is reserved at once. Small for a plain service. */
    readonly prefixBlocks?: number;
    /** Time over which a target that returns reaches its whole weight. */
    readonly slowStartMilliseconds?: number;
    /** Largest share of the candidates that may be ejected at a time; one of two or three always may. */
    readonly maximumEjectedShare?: number;
    /** Duration of a target's first ejection; doubles with each further one. */
    readonly ejectionMilliseconds?: number;
    readonly maximumEjectionMilliseconds?: number;
    /** Time without an ejection after which one former ejection no longer counts. */
    readonly ejectionDecayMilliseconds?: number;
    /** Failures in a row that eject a target. */
    readonly failuresToEject?: number;
    /** A target is a straggler when its first-token time is this many times the median of the targets. */
    readonly stragglerFactor?: number;
    /** First-token times above the median by less than this never make a straggler. */
    readonly stragglerMarginMilliseconds?: number;
    /** First-token times that must be known of a target before it is judged. */
    readonly stragglerSamples?: number;
}

/** Options with all defaults filled in. */
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

/** Fills in the defaults. */
export function completeRouterOptions(options: RouterOptions): CompleteRouterOptions {
    return { ...defaults, ...options };
}
