/** Chooses what is told to other daemons, within the bounds of a report. */
import {
    MAXIMUM_REPORTED_CRASHES,
    MAXIMUM_REPORTED_PARTS,
    MAXIMUM_REPORTED_PROOFS,
    MAXIMUM_REPORTED_STATEMENTS,
    NEWS_MILLISECONDS,
    OLD_FACTS_IN_REPORT,
} from "./constants.js";
import type { Crashes, KnownCrash } from "./crashes.js";
import type { Proofs } from "./proofs.js";
import type { PartStatement, QuarantineReport, ReportedCrash } from "./types.js";

/** Decision with the time at which this daemon learned of it. */
export interface KnownStatement {
    readonly statement: PartStatement;
    readonly changedAt: number;
}

/** Writes reports. Each contains what is new, and some older facts in turn for daemons that missed them. */
export interface Reporter {
    report(crashes: Crashes, proofs: Proofs, statements: readonly KnownStatement[], now: number): QuarantineReport;
}

interface Fact<T> {
    readonly value: T;
    readonly changedAt: number;
}

/** Creates a reporter. */
export function createReporter(): Reporter {
    const chooseCrashes = createChooser<KnownCrash>(MAXIMUM_REPORTED_CRASHES);
    const chooseProofs = createChooser<{ readonly part: string; readonly at: number; }>(MAXIMUM_REPORTED_PROOFS);
    const chooseStatements = createChooser<PartStatement>(MAXIMUM_REPORTED_STATEMENTS);
    return {
        report: (crashes, proofs, statements, now) => {
            const knownCrashes = crashes.known().map(value => ({ value, changedAt: value.changedAt }));
            const proven = crashes.parts()
                .map(part => ({ part, at: proofs.lastOwnAt(part) }))
                .filter(({ at }) => Number.isFinite(at))
                .map(value => {
                    const crashedAt = crashes.withPart(value.part).at(-1)?.changedAt ?? 0;
                    return { value, changedAt: Math.max(value.at, crashedAt) };
                });
            const decisions = statements.map(({ statement, changedAt }) => ({ value: statement, changedAt }));
            return {
                crashes: limitParts(chooseCrashes(knownCrashes, now)).map(toReported),
                proven: chooseProofs(proven, now),
                statements: chooseStatements(decisions, now),
            };
        },
    };
}

/** Creates a function that chooses the newest facts and then others in turn. */
function createChooser<T>(maximum: number): (facts: readonly Fact<T>[], now: number) => readonly T[] {
    let next = 0;
    return (facts, now) => {
        const isNew = ({ changedAt }: Fact<T>): boolean => now - changedAt < NEWS_MILLISECONDS;
        const newest = facts.filter(isNew)
            .sort((left, right) => right.changedAt - left.changedAt)
            .slice(0, maximum);
        const old = facts.filter(fact => !isNew(fact));
        const count = Math.min(old.length, OLD_FACTS_IN_REPORT, maximum - newest.length);
        const inTurn = [...Array(count).keys()].flatMap(index => old[(next + index) % old.length] ?? []);
        next = old.length === 0 ? 0 : (next + count) % old.length;
        return [...newest, ...inTurn].map(({ value }) => value);
    };
}

/** Drops the crashes that follow when the parts become too many; they are told later. */
function limitParts(crashes: readonly KnownCrash[]): readonly KnownCrash[] {
    let parts = 0;
    return crashes.filter(crash => {
        parts += crash.parts.size;
        return parts <= MAXIMUM_REPORTED_PARTS;
    });
}

function toReported({ target, startedAt, at, parts, withdrawn }: KnownCrash): ReportedCrash {
    return { target, startedAt, at, parts: [...parts], ...withdrawn ? { withdrawn } : {} };
}
