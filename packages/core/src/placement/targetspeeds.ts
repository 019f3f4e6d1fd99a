/**
 * How much slower targets are than their work should take, as the daemons of a fleet observe it together: one daemon of a
 * large fleet sends a group a request every half minute, which says nothing about its speed now.
 *
 * An observation is the observed time over the expected one. Observations are averaged as logarithms within bounds, so that
 * single odd ones count little, and fade, so that a target that recovers gets its share back.
 */

import { addLogarithm, fade, type FadingSum } from "./fadingsum.js";

/** Observations of one target: their faded number, and the sum of their logarithms. */
export interface SpeedSum {
    readonly target: string;
    readonly weight: number;
    readonly logSum: number;
}

/** A target that is slower than its work should take. */
export interface SlowTarget {
    readonly target: string;
    /** Observed time over expected time, above 1. */
    readonly slowness: number;
}

/** Observations of one daemon. Times are monotonic milliseconds. */
export interface SpeedObservations {
    /** Records that something took `ratio` times as long as expected. A ratio that is no positive number is ignored. */
    record(target: string, ratio: number, now: number): void;
    /** Returns the recent observations, relative to what this daemon observes of most targets. */
    sums(now: number): readonly SpeedSum[];
    /** Forgets a target, under whose id another process runs. */
    forget(target: string): void;
}

/** Time after which an observation counts half. */
const HALF_LIFE_MILLISECONDS = 1_500;
/** Observations that have faded to less than this are dropped. */
const LEAST_WEIGHT = 0.1;
/** One observation counts as no slower and no faster than this many times. */
const MAXIMUM_RATIO = 6;
const MINIMUM_RATIO = 0.25;
/** Number of targets from which most of them can be told from single slow ones. */
const LEAST_TARGETS = 4;
/** Observations as expected that are assumed of each target, so that few slow ones weigh little. */
const ASSUMED_OBSERVATIONS = 1;
/** A target counts as slow from here on; the expected times are estimates. */
const LEAST_SLOWNESS = 1.6;

/** Creates a daemon's observations, without any. */
export function createSpeedObservations(): SpeedObservations {
    const sums = new Map<string, FadingSum>();
    return {
        record: (target, ratio, now) => {
            if (!Number.isFinite(ratio) || ratio <= 0) {
                return;
            }
            const logarithm = Math.log(Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio)));
            sums.set(target, addLogarithm(fade(sums.get(target), HALF_LIFE_MILLISECONDS, now), logarithm));
        },
        sums: now => {
            sums.forEach((known, target) => {
                const sum = fade(known, HALF_LIFE_MILLISECONDS, now);
                if (sum.weight < LEAST_WEIGHT) {
                    sums.delete(target);
                    return;
                }
                sums.set(target, sum);
            });
            const usual = usualLogarithm([...sums.values()]);
            return [...sums].map(([target, { weight, logSum }]) => ({
                target,
                weight,
                logSum: logSum - usual * weight,
            }));
        },
        forget: target => void sums.delete(target),
    };
}

/** Adds up the observations of several daemons by target. */
export function mergeSpeeds(sources: readonly (readonly SpeedSum[])[]): SpeedSum[] {
    const sums = new Map<string, SpeedSum>();
    sources.flat().forEach(({ target, weight, logSum }) => {
        const sum = sums.get(target);
        sums.set(target, {
            target,
            weight: weight + (sum?.weight ?? 0),
            logSum: logSum + (sum?.logSum ?? 0),
        });
    });
    return [...sums.values()];
}

/** Returns the targets that are slow by these observations. */
export function findSlowTargets(sums: readonly SpeedSum[]): SlowTarget[] {
    return sums.map(({ target, weight, logSum }) => ({
        target,
        slowness: Math.exp(logSum / (weight + ASSUMED_OBSERVATIONS)),
    })).filter(({ slowness }) => slowness >= LEAST_SLOWNESS);
}

/**
 * Returns the median of the mean logarithms if it shows that most targets look slow to this daemon: then the daemon, or the
 * path to the targets, or the estimate is slow. Otherwise 0.
 */
function usualLogarithm(sums: readonly FadingSum[]): number {
    if (sums.length < LEAST_TARGETS) {
        return 0;
    }
    const means = sums.map(({ weight, logSum }) => logSum / weight).sort((left, right) => left - right);
    return Math.max(0, means[Math.floor(means.length / 2)] ?? 0);
}
