/** Ejection of targets that fail or straggle, for a time that grows with each ejection. */
import type { CompleteRouterOptions } from "./options.js";
import type { AttemptObservation } from "./types.js";

/** Weight of the newest first-token time in the average of a target. */
const AVERAGE_WEIGHT = 0.2;

/** Health of one target, owned by the router. */
export interface TargetHealth {
    failuresInRow: number;
    /** Moving average of the time to the first token. */
    firstToken: number;
    samples: number;
    ejections: number;
    /** Monotonic time at which the last ejection ends. */
    ejectedUntil: number;
    /** Monotonic time of the last refusal before starting. */
    refusedAt: number;
}

/** Health of a target of which nothing is known. */
export function unknownHealth(): TargetHealth {
    return {
        failuresInRow: 0,
        firstToken: 0,
        samples: 0,
        ejections: 0,
        ejectedUntil: Number.NEGATIVE_INFINITY,
        refusedAt: Number.NEGATIVE_INFINITY,
    };
}

/** How many of `count` targets may be ejected at a time. A target without an alternative is never ejected. */
export function ejectionLimit(count: number, share: number): number {
    return count < 2 ? 0 : Math.min(count - 1, Math.max(1, Math.floor(count * share)));
}

/** Median of the first-token averages that rest on enough samples; undefined below three targets. */
export function medianFirstToken(healths: readonly TargetHealth[], samples: number): number | undefined {
    const known = healths.filter(health => health.samples >= samples).map(health => health.firstToken);
    known.sort((left, right) => left - right);
    return known.length < 3 ? undefined : known[Math.floor((known.length - 1) / 2)];
}

/** Notes the result of an attempt. Returns whether the target must be ejected for failures. */
export function noteResult(health: TargetHealth, seen: AttemptObservation, options: CompleteRouterOptions): boolean {
    if (seen.firstTokenMilliseconds !== undefined) {
        health.firstToken = health.samples === 0
            ? seen.firstTokenMilliseconds
            : health.firstToken + AVERAGE_WEIGHT * (seen.firstTokenMilliseconds - health.firstToken);
        health.samples += 1;
    }
    if (seen.result === "refused") {
        health.refusedAt = seen.finishedAt;
    }
    if (seen.result === "complete") {
        health.failuresInRow = 0;
    }
    if (seen.result === "failed") {
        health.failuresInRow += 1;
    }
    return health.failuresInRow >= options.failuresToEject;
}

/** Whether a target is so much slower than the median that it must be ejected. */
export function isStraggler(health: TargetHealth, median: number | undefined, options: CompleteRouterOptions): boolean {
    return median !== undefined
        && health.samples >= options.stragglerSamples
        && health.firstToken > median * options.stragglerFactor
        && health.firstToken > median + options.stragglerMarginMilliseconds;
}

/** Ejects a target that is not ejected already; the evidence starts anew when it returns. */
export function eject(health: TargetHealth, now: number, options: CompleteRouterOptions): void {
    if (health.ejectedUntil > now) {
        return;
    }
    const quiet = Math.max(0, now - health.ejectedUntil);
    const forgotten = Math.floor(quiet / options.ejectionDecayMilliseconds);
    health.ejections = Math.max(0, health.ejections - forgotten) + 1;
    const duration = options.ejectionMilliseconds * 2 ** Math.min(20, health.ejections - 1);
    health.ejectedUntil = now + Math.min(options.maximumEjectionMilliseconds, duration);
    health.failuresInRow = 0;
    health.samples = 0;
}
