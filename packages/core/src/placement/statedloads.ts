/**
 * Load on targets from the requests of other daemons, as one daemon knows it from the statements of collectors. The latest
 * report of this daemon that a statement includes is subtracted, so that no request counts twice.
 */
import type { ReportedLoad, ReportIdentity } from "./loadsums.js";

/** Sums that a collector states. */
export interface LoadStatement {
    /** Daemon that states them. */
    readonly collector: string;
    /** Sums over all data centres that the collector knows. */
    readonly sums: readonly ReportedLoad[];
    /** Reports of the collector's own data centre that are included. */
    readonly included: readonly ReportIdentity[];
    /** Age of the oldest sum of a data centre in the statement when it was sent, in milliseconds. */
    readonly ageMilliseconds: number;
}

/** Load from all other daemons. Times are monotonic milliseconds. */
export interface StatedLoads {
    /** Remembers a report of this daemon, which later statements include. */
    recordSent(sequence: number, loads: readonly ReportedLoad[]): void;
    /** Takes over a statement. */
    merge(statement: LoadStatement, now: number): void;
    /** Returns the load of a target by other daemons. */
    totalOf(target: string, now: number): { readonly inProgress: number; readonly pendingPromptTokens: number; };
    /** Returns the age of what is used now, in milliseconds; `undefined` before the first statement. */
    ageMilliseconds(now: number): number | undefined;
}

/** A statement of another collector replaces the one in use if that one is older than this or includes fewer daemons. */
const FRESH_MILLISECONDS = 400;
/** Without a newer statement, the last one counts in full for this long, and then half as much after each such time. */
const HALF_LIFE_MILLISECONDS = 2_000;
/** Reports that may be on their way to a collector or back. */
const REMEMBERED_REPORTS = 32;

const NO_LOAD = { inProgress: 0, pendingPromptTokens: 0 };

interface UsedStatement {
    readonly statement: LoadStatement;
    readonly receivedAt: number;
    /** Load of other daemons by target. */
    readonly loads: ReadonlyMap<string, ReportedLoad>;
}

/** Creates the loads of a daemon that has received no statement; `self` identifies its process. */
export function createStatedLoads(self: Pick<ReportIdentity, "daemon" | "startedAt">): StatedLoads {
    const sent = new Map<number, readonly ReportedLoad[]>();
    let used: UsedStatement | undefined;

    const ownLoads = ({ included }: LoadStatement): readonly ReportedLoad[] => {
        const own = included.find(({ daemon, startedAt }) => daemon === self.daemon && startedAt === self.startedAt);
        return own === undefined ? [] : sent.get(own.sequence) ?? [];
    };
    const isBetter = (statement: LoadStatement, now: number): boolean =>
        used === undefined || used.statement.collector === statement.collector
        || now - used.receivedAt > FRESH_MILLISECONDS
        || statement.included.length > used.statement.included.length;

    return {
        recordSent: (sequence, loads) => {
            sent.set(sequence, loads);
            sent.delete(sequence - REMEMBERED_REPORTS);
        },
        merge: (statement, now) => {
            if (!isBetter(statement, now)) {
                return;
            }
            const loads = new Map(statement.sums.map(load => [load.target, load]));
            ownLoads(statement).forEach(own => {
                const total = loads.get(own.target);
                if (total !== undefined) {
                    loads.set(own.target, subtract(total, own));
                }
            });
            used = { statement, receivedAt: now, loads };
        },
        totalOf: (target, now) => {
            const load = used?.loads.get(target);
            if (used === undefined || load === undefined) {
                return NO_LOAD;
            }
            const factor = remainingFactor(now - used.receivedAt);
            return {
                inProgress: load.inProgress * factor,
                pendingPromptTokens: load.pendingPromptTokens * factor,
            };
        },
        ageMilliseconds: now => used === undefined ? undefined : now - used.receivedAt + used.statement.ageMilliseconds,
    };
}

function subtract(total: ReportedLoad, own: ReportedLoad): ReportedLoad {
    return {
        target: total.target,
        inProgress: Math.max(0, total.inProgress - own.inProgress),
        pendingPromptTokens: Math.max(0, total.pendingPromptTokens - own.pendingPromptTokens),
    };
}

function remainingFactor(ageMilliseconds: number): number {
    return 0.5 ** (Math.max(0, ageMilliseconds - HALF_LIFE_MILLISECONDS) / HALF_LIFE_MILLISECONDS);
}
