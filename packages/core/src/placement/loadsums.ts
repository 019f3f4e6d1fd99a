/** Sums of the loads that daemons report to a collector. Each daemon counts once, by the newest report of its process. */

/** Load that one daemon reports for one target. */
export interface ReportedLoad {
    readonly target: string;
    readonly inProgress: number;
    /** Prompt tokens that wait for prefill. */
    readonly pendingPromptTokens: number;
}

/** Identity of one report of a daemon. */
export interface ReportIdentity {
    readonly daemon: string;
    /** Start of the process in Unix milliseconds. A later process replaces an earlier one of the same name. */
    readonly startedAt: number;
    /** Rises with each report of the process. */
    readonly sequence: number;
}

/** What a daemon reports. */
export interface LoadReport extends ReportIdentity {
    readonly loads: readonly ReportedLoad[];
}

/** Sums over the reports of several daemons. Times are monotonic milliseconds. */
export interface LoadSums {
    /** Replaces the previous report of a daemon; returns whether it did, which it does not for an older report. */
    update(report: LoadReport, now: number): boolean;
    /** Returns the sum of each target that has any load. */
    sums(now: number): readonly ReportedLoad[];
    /** Returns the reports that are included in the sums. */
    included(now: number): readonly ReportIdentity[];
}

/** A daemon that has not reported for this long counts as gone, together with its requests. */
export const REPORT_EXPIRY_MILLISECONDS = 2_000;

interface ReceivedReport {
    readonly report: LoadReport;
    readonly receivedAt: number;
}

interface MutableSum {
    inProgress: number;
    pendingPromptTokens: number;
}

/** Returns whether a report is older than another one of the same daemon, or the same. */
function isOutdated(report: ReportIdentity, known: ReportIdentity): boolean {
    return report.startedAt < known.startedAt
        || (report.startedAt === known.startedAt && report.sequence <= known.sequence);
}

/** Creates sums without reports. */
export function createLoadSums(): LoadSums {
    /** In the order of their arrival, so that the first ones expire first. */
    const reports = new Map<string, ReceivedReport>();
    const sumByTarget = new Map<string, MutableSum>();

    const add = ({ loads }: LoadReport, sign: 1 | -1): void =>
        loads.forEach(({ target, inProgress, pendingPromptTokens }) => {
            const sum = sumByTarget.get(target) ?? { inProgress: 0, pendingPromptTokens: 0 };
            sum.inProgress += sign * inProgress;
            sum.pendingPromptTokens += sign * pendingPromptTokens;
            if (sum.inProgress > 0) {
                sumByTarget.set(target, sum);
            }
            else {
                sumByTarget.delete(target);
            }
        });
    const drop = ({ report }: ReceivedReport): void => {
        reports.delete(report.daemon);
        add(report, -1);
    };
    const expire = (now: number): void => {
        for (const received of reports.values()) {
            if (now - received.receivedAt < REPORT_EXPIRY_MILLISECONDS) {
                return;
            }
            drop(received);
        }
    };

    return {
        update: (report, now) => {
            const known = reports.get(report.daemon);
            if (known !== undefined && isOutdated(report, known.report)) {
                return false;
            }
            if (known !== undefined) {
                drop(known);
            }
            reports.set(report.daemon, { report, receivedAt: now });
            add(report, 1);
            return true;
        },
        sums: now => {
            expire(now);
            return [...sumByTarget].map(([target, sum]) => ({ target, ...sum }));
        },
        included: now => {
            expire(now);
            return [...reports.values()].map(({ report: { daemon, startedAt, sequence } }) => ({
                daemon,
                startedAt,
                sequence,
            }));
        },
    };
}

/** Adds up loads of several sources by target. */
export function mergeLoads(sources: readonly (readonly ReportedLoad[])[]): ReportedLoad[] {
    const sumByTarget = new Map<string, MutableSum>();
    sources.flat().forEach(({ target, inProgress, pendingPromptTokens }) => {
        const sum = sumByTarget.get(target);
        if (sum === undefined) {
            sumByTarget.set(target, { inProgress, pendingPromptTokens });
            return;
        }
        sum.inProgress += inProgress;
        sum.pendingPromptTokens += pendingPromptTokens;
    });
    return [...sumByTarget].map(([target, sum]) => ({ target, ...sum }));
}
