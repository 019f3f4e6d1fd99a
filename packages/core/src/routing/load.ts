/** Load of a target, estimated from its lagging report and from what this daemon has in progress there. */
import type { Candidate } from "./types.js";

/** Changes of the own count that are kept for each target. */
const HISTORY_LENGTH = 2_048;
/** Reports may arrive out of order by up to this time. */
const REPORT_DISORDER_MILLISECONDS = 10_000;

interface Change {
    readonly at: number;
    readonly count: number;
}

/** Requests in progress as estimated now. */
export interface LoadEstimate {
    /** Requests of this daemon in progress, known exactly. */
    readonly own: number;
    /** Requests of others that run, as of the last report. */
    readonly others: number;
    /** Requests of others that wait at the target, as of the last report. */
    readonly othersQueued: number;
}

/** Own requests in progress at one target, with enough history to read a report of the past. */
export interface LoadBook {
    sent(now: number): void;
    finished(now: number): void;
    inProgress(): number;
    estimate(load: Candidate["load"]): LoadEstimate;
}

/**
 * Makes the book of one target. A report counts the own requests that were in progress when it was taken, so these
 * are taken off it and the own requests in progress now are added.
 */
export function createLoadBook(): LoadBook {
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
            const kept = history.findLastIndex(entry => entry.at <= at - REPORT_DISORDER_MILLISECONDS);
            history = kept <= 0 ? history : history.slice(kept);
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
