/** Estimates the load of a target from its lagging report and from this daemon's requests in progress there. */
import type { Candidate } from "./types.js";

/** Number of changes of the own request count that are kept for each target. */
const HISTORY_LENGTH = 2_048;
/** Maximum time by which reports may arrive out of order. */
const REPORT_REORDERING_MILLISECONDS = 10_000;

interface Change {
    readonly at: number;
    readonly count: number;
}

/** Current estimate of the requests in progress at a target. */
export interface LoadEstimate {
    /** Requests of this daemon in progress, known exactly. */
    readonly own: number;
    /** Running requests of other daemons, as of the last report. */
    readonly others: number;
    /** Requests of other daemons that are queued at the target, as of the last report. */
    readonly othersQueued: number;
}

/** Own requests in progress at one target, with enough history to interpret a report from the past. */
export interface LoadHistory {
    sent(now: number): void;
    finished(now: number): void;
    inProgress(): number;
    estimate(load: Candidate["load"]): LoadEstimate;
}

/**
 * Creates the history of one target. A report includes the own requests that were in progress when it was taken, so
 * these are subtracted, and the own requests that are in progress now are returned separately.
 */
export function createLoadHistory(): LoadHistory {
    let history: Change[] = [];
    let count = 0;
    let newestReport = Number.NEGATIVE_INFINITY;

    const change = (at: number, next: number): void => {
        count = next;
        history.push({ at, count });
        if (history.length > HISTORY_LENGTH * 2) {
            history = history.slice(-HISTORY_LENGTH);
        }
    };

    const countAt = (at: number): number => {
        if (at > newestReport) {
            newestReport = at;
            const oldestNeeded = history.findLastIndex(entry => entry.at <= at - REPORT_REORDERING_MILLISECONDS);
            history = oldestNeeded <= 0 ? history : history.slice(oldestNeeded);
        }
        return history.findLast(entry => entry.at <= at)?.count ?? 0;
    };

    return {
        sent: now => change(now, count + 1),
        finished: now => change(now, Math.max(0, count - 1)),
        inProgress: () => count,
        estimate: load => {
            if (load === undefined) {
                return { own: count, others: 0, othersQueued: 0 };
            }
            const others = Math.max(0, load.running + load.queued - countAt(load.reportedAt));
            const othersQueued = Math.min(others, load.queued);
            return { own: count, others: others - othersQueued, othersQueued };
        },
    };
}
