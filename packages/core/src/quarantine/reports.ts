/** Chooses what is reported to other daemons, within the bounds of a report. */
import {
    MAXIMUM_REPORTED_CRASHES,
    MAXIMUM_REPORTED_PARTS,
    MAXIMUM_REPORTED_PROOFS,
    MAXIMUM_REPORTED_STATEMENTS,
    OLD_FACTS_IN_REPORT,
    UPDATE_MILLISECONDS,
} from "./constants.js";
import type { Crashes, KnownCrash } from "./crashes.js";
import type { Proofs } from "./proofs.js";
import type { Statements } from "./statements.js";
import type { PartStatement, QuarantineReport, ReportedCrash } from "./types.js";

interface Fact<T> {
    readonly value: T;
    readonly changedAt: number;
}

type ReportedProof = QuarantineReport["proven"][number];

/** Writes reports. Each contains what is new, and some older facts in turn for daemons that missed them. */
export class Reporter {
    private readonly crashChooser = new Chooser<KnownCrash>(MAXIMUM_REPORTED_CRASHES);
    private readonly proofChooser = new Chooser<ReportedProof>(MAXIMUM_REPORTED_PROOFS);
    private readonly statementChooser = new Chooser<PartStatement>(MAXIMUM_REPORTED_STATEMENTS);

    report(crashes: Crashes, proofs: Proofs, statements: Statements, now: number): QuarantineReport {
        const facts = crashes.known().map(value => ({ value, changedAt: value.changedAt }));
        const decisions = statements.all().map(({ statement, changedAt }) => ({ value: statement, changedAt }));
        return {
            crashes: limitParts(this.crashChooser.choose(facts, now)).map(toReported),
            proven: this.proofChooser.choose(proofsOf(crashes, proofs), now),
            statements: this.statementChooser.choose(decisions, now),
        };
    }
}

/** Chooses the newest facts and then others in turn. */
class Chooser<T> {
    private next = 0;

    constructor(private readonly maximum: number) {}

    choose(facts: readonly Fact<T>[], now: number): readonly T[] {
        const isNew = ({ changedAt }: Fact<T>): boolean => now - changedAt < UPDATE_MILLISECONDS;
        const newest = facts.filter(isNew)
            .sort((left, right) => right.changedAt - left.changedAt)
            .slice(0, this.maximum);
        const old = facts.filter(fact => !isNew(fact));
        const count = Math.min(old.length, OLD_FACTS_IN_REPORT, this.maximum - newest.length);
        const inTurn = [...Array(count).keys()].flatMap(index => old[(this.next + index) % old.length] ?? []);
        this.next = old.length === 0 ? 0 : (this.next + count) % old.length;
        return [...newest, ...inTurn].map(({ value }) => value);
    }
}

/** Returns the proofs by this daemon of parts that occur in a crash. A new crash makes them new again. */
function proofsOf(crashes: Crashes, proofs: Proofs): readonly Fact<ReportedProof>[] {
    return crashes.parts()
        .map(part => ({ part, at: proofs.lastOwnAt(part) }))
        .filter(({ at }) => Number.isFinite(at))
        .map(value => {
            const crashedAt = crashes.withPart(value.part).at(-1)?.changedAt ?? Number.NEGATIVE_INFINITY;
            return { value, changedAt: Math.max(proofs.clearedAt(value.part), crashedAt) };
        });
}

/** Drops the crashes that follow when the parts become too many; they are reported in turn. */
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
