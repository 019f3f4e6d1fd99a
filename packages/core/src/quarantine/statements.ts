/** Decisions about parts: which of two is the later one, and when a quarantined part may be tried again. */
import { LEAST_CRASHES } from "./blame.js";
import {
    CRASH_RETENTION_MILLISECONDS,
    DOUBTFUL_TRIAL_PAUSE_MILLISECONDS,
    MAXIMUM_STATEMENTS,
    OPERATOR_REVISIONS,
    STATEMENT_RETENTION_MILLISECONDS,
    TRIAL_PAUSE_GROWTH,
    TRIAL_PAUSE_MILLISECONDS,
    TRIAL_RESULT_MILLISECONDS,
} from "./constants.js";
import { boundsOf } from "./subjects.js";
import type { PartStatement } from "./types.js";

/** Decision with the time at which this daemon learned of it. */
export interface KnownStatement {
    readonly statement: PartStatement;
    readonly changedAt: number;
}

/** Bounded collection of the newest decision about each part. */
export class Statements {
    private readonly known = new Map<string, KnownStatement>();
    private readonly quarantinedParts = new Set<string>();

    find(part: string): PartStatement | undefined {
        return this.known.get(part)?.statement;
    }

    isQuarantined(part: string): boolean {
        return this.quarantinedParts.has(part);
    }

    hasQuarantined(): boolean {
        return this.quarantinedParts.size > 0;
    }

    all(): readonly KnownStatement[] {
        return [...this.known.values()];
    }

    quarantined(): readonly PartStatement[] {
        return [...this.quarantinedParts].flatMap(part => this.find(part) ?? []);
    }

    /** Stores a decision made here. */
    state(decision: Omit<PartStatement, "revision" | "statedAt">, now: number): PartStatement {
        const before = this.find(decision.part)?.revision ?? 0;
        const revision = before + (decision.cause === "operator" ? OPERATOR_REVISIONS : 1);
        return this.store({ ...decision, revision, statedAt: now }, now);
    }

    /** Takes over a decision that another daemon reported; returns it if it differs from the known one. */
    adopt(reported: PartStatement, now: number): PartStatement | undefined {
        if (now - reported.statedAt > retentionOf(reported)) {
            return undefined;
        }
        const before = this.known.get(reported.part);
        const merged = before === undefined ? reported : mergeStatements(before.statement, reported);
        if (
            before === undefined || merged.revision !== before.statement.revision
            || merged.state !== before.statement.state
        ) {
            return this.store(merged, now);
        }
        this.known.set(reported.part, { ...before, statement: merged });
        return undefined;
    }

    prune(now: number): void {
        this.all()
            .filter(({ statement }) => now - statement.statedAt > retentionOf(statement))
            .forEach(({ statement: { part } }) => this.remove(part));
    }

    private store(statement: PartStatement, now: number): PartStatement {
        this.remove(statement.part);
        this.known.set(statement.part, { statement, changedAt: now });
        if (statement.state === "quarantined") {
            this.quarantinedParts.add(statement.part);
        }
        if (this.known.size > MAXIMUM_STATEMENTS) {
            this.remove(this.leastNeeded());
        }
        return statement;
    }

    private leastNeeded(): string {
        const endOf = ({ statement }: KnownStatement): number => statement.statedAt + retentionOf(statement);
        return this.all().reduce((left, right) => endOf(right) < endOf(left) ? right : left).statement.part;
    }

    private remove(part: string): void {
        this.known.delete(part);
        this.quarantinedParts.delete(part);
    }
}

/** Returns whether a trial could cause a crash that the platform counts, so that few are made. */
export function isLateTrial({ part, crashes }: PartStatement): boolean {
    return crashes > boundsOf(part).maximumCrashesForTrial;
}

/**
 * Returns the time of the next automatic trial, or infinity if none is left. A part that was sound before can meet many
 * crashes at once by another cause, and gets two trials then, too.
 */
export function nextTrialAt(statement: PartStatement): number {
    const { crashes, trials, trialAt, statedAt, wasProven, isAmbiguous } = statement;
    const isLate = isLateTrial(statement);
    if (isLate && hasSpentTrials(statement)) {
        return Number.POSITIVE_INFINITY;
    }
    if (trialAt !== undefined) {
        return trialAt + TRIAL_RESULT_MILLISECONDS * TRIAL_PAUSE_GROWTH ** (trials - 1);
    }
    const isDoubtful = wasProven || isAmbiguous;
    const first = isDoubtful ? DOUBTFUL_TRIAL_PAUSE_MILLISECONDS : TRIAL_PAUSE_MILLISECONDS;
    return statedAt + first * TRIAL_PAUSE_GROWTH ** (isLate || isAmbiguous ? 0 : crashes - LEAST_CRASHES);
}

function hasSpentTrials({ part, cause, trials, wasProven }: PartStatement): boolean {
    const { maximumFailedTrials, maximumUnprovenTrials } = boundsOf(part);
    const failed = cause === "trial-failed" ? trials : 0;
    return wasProven
        ? failed > 0 && failed >= maximumFailedTrials.proven
        : failed >= maximumFailedTrials.unproven || trials >= maximumUnprovenTrials;
}

function retentionOf({ state }: PartStatement): number {
    return state === "quarantined" ? STATEMENT_RETENTION_MILLISECONDS : CRASH_RETENTION_MILLISECONDS;
}

/**
 * Merges two decisions about a part; the same for all daemons. Of two that were made without knowledge of each other,
 * a release wins, because a sound request or an operator stands behind it.
 */
function mergeStatements(left: PartStatement, right: PartStatement): PartStatement {
    const order = left.revision - right.revision
        || Number(left.state === "released") - Number(right.state === "released")
        || left.crashes - right.crashes
        || left.trials - right.trials
        || Number(left.wasProven) - Number(right.wasProven)
        || Number(left.isAmbiguous) - Number(right.isAmbiguous)
        || left.cause.localeCompare(right.cause);
    if (order !== 0) {
        return order > 0 ? left : right;
    }
    // The time of a message makes what it reports look newer than it is.
    const older = left.statedAt <= right.statedAt ? left : right;
    const trialAt = Math.min(left.trialAt ?? Number.POSITIVE_INFINITY, right.trialAt ?? Number.POSITIVE_INFINITY);
    return { ...older, trialAt: Number.isFinite(trialAt) ? trialAt : undefined };
}
