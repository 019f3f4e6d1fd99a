/** Ejects targets that fail or straggle, for a time that grows with each ejection. Times are monotonic milliseconds. */
import type { CompleteRouterOptions } from "./options.js";
import type { AttemptObservation } from "./types.js";

/** Weight of the newest first-token time in the moving average of a target. */
const AVERAGE_WEIGHT = 0.2;

/** Health of one target, updated by the router. */
export interface TargetHealth {
    consecutiveFailures: number;
    /** Exponential moving average of the time to the first token. */
    meanFirstTokenMilliseconds: number;
    samples: number;
    ejections: number;
    /** When the last ejection ends. */
    ejectedUntil: number;
    /** When the target last refused a request before it started. */
    refusedAt: number;
}

/** Returns the health of a target without observations. */
export function initialHealth(): TargetHealth {
    return {
        consecutiveFailures: 0,
        meanFirstTokenMilliseconds: 0,
        samples: 0,
        ejections: 0,
        ejectedUntil: Number.NEGATIVE_INFINITY,
        refusedAt: Number.NEGATIVE_INFINITY,
    };
}

/** Returns how many of `count` targets may be ejected at a time. The only target is never ejected. */
export function ejectionLimit(count: number, share: number): number {
    return count < 2 ? 0 : Math.min(count - 1, Math.max(1, Math.floor(count * share)));
}

/** Returns the median of the first-token averages with enough samples, or `undefined` for fewer than three targets. */
export function medianFirstToken(healths: readonly TargetHealth[], samples: number): number | undefined {
    const averages = healths.filter(health => health.samples >= samples).map(health =>
        health.meanFirstTokenMilliseconds
    );
    averages.sort((left, right) => left - right);
    return averages.length < 3 ? undefined : averages[Math.floor((averages.length - 1) / 2)];
}

/** Records the result of an attempt. Returns whether the target must be ejected because of failures. */
export function recordResult(
    health: TargetHealth,
    observation: AttemptObservation,
    options: CompleteRouterOptions,
): boolean {
    if (observation.firstTokenMilliseconds !== undefined) {
        health.meanFirstTokenMilliseconds = health.samples === 0
            ? observation.firstTokenMilliseconds
            : health.meanFirstTokenMilliseconds
                + AVERAGE_WEIGHT * (observation.firstTokenMilliseconds - health.meanFirstTokenMilliseconds);
        health.samples += 1;
    }
    if (observation.result === "refused") {
        health.refusedAt = observation.finishedAt;
    }
    if (observation.result === "complete") {
        health.consecutiveFailures = 0;
    }
    if (observation.result === "failed") {
        health.consecutiveFailures += 1;
    }
    return health.consecutiveFailures >= options.failuresToEject;
}

/** Returns whether a target is so much slower than the median that it must be ejected. */
export function isStraggler(health: TargetHealth, median: number | undefined, options: CompleteRouterOptions): boolean {
    return median !== undefined
        && health.samples >= options.stragglerSamples
        && health.meanFirstTokenMilliseconds > median * options.stragglerFactor
        && health.meanFirstTokenMilliseconds > median + options.stragglerMarginMilliseconds;
}

/** Ejects a target unless it is ejected already, and resets its failures and samples. */
export function eject(health: TargetHealth, now: number, options: CompleteRouterOptions): void {
    if (health.ejectedUntil > now) {
        return;
    }
    const sinceEjection = Math.max(0, now - health.ejectedUntil);
    const decayed = Math.floor(sinceEjection / options.ejectionDecayMilliseconds);
    health.ejections = Math.max(0, health.ejections - decayed) + 1;
    const duration = options.ejectionMilliseconds * 2 ** Math.min(20, health.ejections - 1);
    health.ejectedUntil = now + Math.min(options.maximumEjectionMilliseconds, duration);
    health.consecutiveFailures = 0;
    health.samples = 0;
}
