/**
 * Expected time of a response of a plain target: what the other targets of the service took for the same route lately, as one
 * daemon observed it. Times are averaged as logarithms, so that single odd ones count little.
 */

import { addLogarithm, fade, type FadingSum } from "./fadingsum.js";

/** Times of responses that one daemon observed. Times are monotonic milliseconds. */
export interface RouteTimes {
    /**
     * Records how long a target took for a request of a route; returns this over the time that the other targets take for the
     * route, or `undefined` while too little is known of them.
     */
    record(route: string, target: string, milliseconds: number, now: number): number | undefined;
    /** Forgets a target, under whose id another process runs. */
    forget(target: string): void;
}

/** Time after which an observation counts half. */
const HALF_LIFE_MILLISECONDS = 10_000;
/** Observations of the other targets from which their mean is used. */
const LEAST_OBSERVATIONS = 2;
/** Shorter times differ by chance. */
const LEAST_MILLISECONDS = 1;
/** Routes that are remembered; those without requests are forgotten first. */
const MAXIMUM_ROUTES = 256;

/** Creates the times of a daemon that observed none. */
export function createRouteTimes(): RouteTimes {
    /** Sums by target, by route; the route that was used last stands last. */
    const routes = new Map<string, Map<string, FadingSum>>();
    const targetsOf = (route: string): Map<string, FadingSum> => {
        const targets = routes.get(route) ?? new Map<string, FadingSum>();
        routes.delete(route);
        routes.set(route, targets);
        if (routes.size > MAXIMUM_ROUTES) {
            routes.delete([...routes.keys()][0] ?? "");
        }
        return targets;
    };
    return {
        record: (route, target, milliseconds, now) => {
            const targets = targetsOf(route);
            const logarithm = Math.log(Math.max(LEAST_MILLISECONDS, milliseconds));
            const known = fade(targets.get(target), HALF_LIFE_MILLISECONDS, now);
            const expected = meanOfOthers(targets, target, now);
            targets.set(target, addLogarithm(known, logarithm));
            return expected === undefined ? undefined : Math.exp(logarithm - expected);
        },
        forget: target => routes.forEach(targets => targets.delete(target)),
    };
}

/** Returns the mean logarithm of the other targets: each counts by its observations. */
function meanOfOthers(targets: ReadonlyMap<string, FadingSum>, target: string, now: number): number | undefined {
    const others = [...targets].filter(([id]) => id !== target).map(([, sum]) =>
        fade(sum, HALF_LIFE_MILLISECONDS, now)
    );
    const weight = others.reduce((total, sum) => total + sum.weight, 0);
    return weight < LEAST_OBSERVATIONS ? undefined : others.reduce((total, { logSum }) => total + logSum, 0) / weight;
}
