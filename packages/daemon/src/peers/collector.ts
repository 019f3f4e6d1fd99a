/** What a daemon knows as a collector: the reports of its data centre, and the statements of the other data centres. */
import {
    createLoadSums,
    type LoadReport,
    mergeLoads,
    REPORT_EXPIRY_MILLISECONDS,
    type ReportedLoad,
} from "@damaskvale/core";
import type { StatedMember } from "./exchangemessage.js";

/** Statement of the collector of another data centre. */
export interface RemoteStatement {
    readonly dataCentre: string;
    readonly collector: string;
    readonly sums: readonly ReportedLoad[];
    readonly members: readonly StatedMember[];
}

/** Knowledge of a collector. Times are monotonic milliseconds. */
export interface Collector {
    /** Takes over the report of a daemon of the own data centre, unless a newer one is known; returns whether it did. */
    receiveReport(report: LoadReport, takesRequests: boolean, now: number): boolean;
    /** Records whether a daemon takes requests, as it says itself between two reports. */
    recordTakesRequests(daemon: string, takesRequests: boolean): void;
    /** Takes over the statement of another data centre. */
    receiveStatement(statement: RemoteStatement, now: number): void;
    /** Returns the daemons of the own data centre that report. */
    members(now: number): readonly StatedMember[];
    /** Returns the sums of the own data centre. */
    localSums(now: number): readonly ReportedLoad[];
    /** Returns the sums over all data centres. */
    allSums(now: number): readonly ReportedLoad[];
    /** Returns the age of the oldest statement that is used, in milliseconds. */
    ageMilliseconds(now: number): number;
    /** Returns the daemons of all data centres with whether they take requests. */
    roster(now: number): [daemon: string, takesRequests: boolean][];
}

interface ReceivedStatement {
    readonly statement: RemoteStatement;
    readonly receivedAt: number;
}

/** A statement of another collector of the same data centre replaces one that is older than this, or covers fewer daemons. */
const FRESH_MILLISECONDS = 600;

/** Creates a collector that knows nothing. */
export function createCollector(): Collector {
    const reports = createLoadSums();
    const takesRequests = new Map<string, boolean>();
    const remote = new Map<string, ReceivedStatement>();
    const recent = (now: number): ReceivedStatement[] =>
        [...remote.values()].filter(({ receivedAt }) => now - receivedAt < REPORT_EXPIRY_MILLISECONDS);
    const members = (now: number): StatedMember[] =>
        reports.included(now).map(({ daemon, startedAt, sequence }) => [
            daemon,
            startedAt,
            sequence,
            takesRequests.get(daemon) === true,
        ]);

    return {
        receiveReport: (report, takes, now) => {
            const isNewest = reports.update(report, now);
            if (isNewest) {
                takesRequests.set(report.daemon, takes);
            }
            return isNewest;
        },
        recordTakesRequests: (daemon, takes) => {
            if (takesRequests.has(daemon)) {
                takesRequests.set(daemon, takes);
            }
        },
        receiveStatement: (statement, now) => {
            const known = remote.get(statement.dataCentre);
            const isBetter = known === undefined || known.statement.collector === statement.collector
                || now - known.receivedAt > FRESH_MILLISECONDS
                || statement.members.length > known.statement.members.length;
            if (isBetter) {
                remote.set(statement.dataCentre, { statement, receivedAt: now });
            }
        },
        members,
        localSums: now => reports.sums(now),
        allSums: now => mergeLoads([reports.sums(now), ...recent(now).map(({ statement }) => statement.sums)]),
        ageMilliseconds: now => Math.max(0, ...recent(now).map(({ receivedAt }) => now - receivedAt)),
        roster: now =>
            [...members(now), ...recent(now).flatMap(({ statement }) => statement.members)]
                .map(([daemon, , , takes]) => [daemon, takes]),
    };
}
