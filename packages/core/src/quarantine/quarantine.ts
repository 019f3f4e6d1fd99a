/**
 * Quarantine of prompt parts that crash the processes of targets.
 *
 * Decisions follow from facts that all daemons merge: the union of the crashes and the newest proof of each part. The
 * order in which a daemon learns them doesn't matter. A part is never blamed for crashes before its last proof.
 */
import { type BlameTest, countCrashes, countSpaced, LEAST_CRASHES } from "./blame.js";
import {
    ADVANCE_MILLISECONDS,
    MINIMUM_RETRY_MILLISECONDS,
    NO_TRIAL_RETRY_MILLISECONDS,
    PROOF_MARGIN_MILLISECONDS,
    PROOF_MILLISECONDS,
    RETRY_SPREAD,
    STATEMENT_RETENTION_MILLISECONDS,
    SUSPICION_MILLISECONDS,
} from "./constants.js";
import { Crashes, type KnownCrash } from "./crashes.js";
import { Evidence } from "./evidence.js";
import { Proofs } from "./proofs.js";
import { Reporter } from "./reports.js";
import { nextTrialAt, Statements } from "./statements.js";
import { boundsOf, subjectKindOf } from "./subjects.js";
import { trialDaemons } from "./trials.js";
import type {
    CrashObservation,
    PartQuarantine,
    PartStatement,
    PartVerdict,
    QuarantineReport,
    ReportedCrash,
} from "./types.js";

type Changes = readonly PartStatement[];

/** Successive multiples of it, modulo 1, are evenly spread. */
const GOLDEN_RATIO = 0.618_033_988_75;

/** Creates an empty quarantine. `test` decides when the evidence against a part suffices. */
export function createPartQuarantine({ test = countCrashes }: { readonly test?: BlameTest; } = {}): PartQuarantine {
    return new Quarantine(test);
}

class Quarantine implements PartQuarantine {
    private readonly crashes = new Crashes();
    private readonly proofs = new Proofs();
    private readonly statements = new Statements();
    private readonly reporter = new Reporter();
    private readonly evidence: Evidence;
    /** Parts that are not blamed although they met several crashes. */
    private suspected: readonly string[] = [];
    /** Decisions that came due while nothing was learned, to be returned with the next ones. */
    private due: Changes = [];
    private advancedAt = Number.NEGATIVE_INFINITY;
    private refusals = 0;

    constructor(test: BlameTest) {
        this.evidence = new Evidence(this.crashes, this.proofs, this.statements, test);
    }

    recordProven(parts: readonly string[], now: number, firstEventAt = now - PROOF_MILLISECONDS): Changes {
        const cleared = parts.filter(part => this.addProof(part, firstEventAt, "own"));
        cleared.forEach(part => this.proofs.markCleared(part, now));
        const released = parts.filter(part => this.statements.isQuarantined(part))
            .flatMap(part => this.releaseIfProven(part, now));
        return cleared.length > 0 || released.length > 0
            ? this.withDue([...released, ...this.evaluate([], now)])
            : this.withDue(released);
    }

    recordCrash(crash: CrashObservation, now: number): Changes {
        return this.withDue(this.weighCrashes(this.addCrashes([{ ...crash, at: now }], now), now));
    }

    withdrawCrash(target: string, startedAt: number | undefined, now: number): Changes {
        const crash = this.crashes.find(target, startedAt);
        return crash === undefined ? [] : this.withdraw(crash, now);
    }

    check(parts: readonly string[], mayTry: (part: string, daemons: number) => boolean, now: number): PartVerdict {
        this.advance(now);
        const refused = parts
            .flatMap(part => this.statements.isQuarantined(part) ? this.statements.find(part) ?? [] : [])
            .map(statement => ({ statement, trialAt: nextTrialAt(statement) }));
        const [first] = refused;
        if (first === undefined) {
            return { kind: "allowed" };
        }
        const last = refused.reduce((left, right) => left.trialAt >= right.trialAt ? left : right, first);
        const { part } = last.statement;
        const daemons = Math.min(...refused.map(({ statement }) => trialDaemons(statement, now)));
        if (daemons > 0 && mayTry(part, daemons)) {
            refused.forEach(({ statement }) =>
                this.statements.state({ ...statement, trials: statement.trials + 1, trialAt: now }, now)
            );
            return { kind: "trial", part };
        }
        // A part that is asked for isn't forgotten.
        refused.map(({ statement }) => statement)
            .filter(({ statedAt }) => now - statedAt > STATEMENT_RETENTION_MILLISECONDS / 2)
            .forEach(statement => this.statements.state(statement, now));
        return { kind: "refused", part, retryAfterMilliseconds: this.retryAfter(last.trialAt - now) };
    }

    release(part: string, now: number): PartStatement | undefined {
        const before = this.statements.find(part);
        return before?.state === "quarantined" ? this.stateReleased(before, "operator", now) : undefined;
    }

    report(now: number): QuarantineReport {
        this.advance(now);
        this.crashes.prune(now);
        this.statements.prune(now);
        return this.reporter.report(this.crashes, this.proofs, this.statements, now);
    }

    merge({ crashes, proven, statements }: QuarantineReport, now: number): Changes {
        const withdrawn = crashes.filter(crash => crash.withdrawn === true)
            .flatMap(({ target, startedAt }) => this.crashes.find(target, startedAt) ?? [])
            .flatMap(crash => this.withdraw(crash, now));
        const concerned = this.addCrashes(crashes, now);
        const isCleared = proven.filter(({ part, at }) => this.addProof(part, at, "reported")).length > 0;
        const adopted = statements.flatMap(statement => this.statements.adopt(statement, now) ?? []);
        return this.withDue([
            ...withdrawn,
            ...adopted,
            ...adopted.flatMap(({ part }) => this.releaseIfProven(part, now)),
            ...isCleared || adopted.length + concerned.length > 0 ? this.weighCrashes(concerned, now) : [],
        ]);
    }

    quarantined(): Changes {
        return this.statements.quarantined();
    }

    /** Makes the decisions that time alone makes due. */
    private advance(now: number): void {
        if (this.suspected.length > 0 && now - this.advancedAt >= ADVANCE_MILLISECONDS) {
            this.advancedAt = now;
            this.due = [...this.due, ...this.evaluate([], now)];
        }
    }

    private withDue(changes: Changes): Changes {
        const { due } = this;
        this.due = [];
        return due.length === 0 ? changes : [...due, ...changes];
    }

    /** Returns the parts that the crashes concern. Other suspects are weighed again at their next crash. */
    private addCrashes(crashes: readonly ReportedCrash[], now: number): readonly string[] {
        return [...new Set(crashes.flatMap(crash => [...this.crashes.add(crash, now)?.parts ?? []]))];
    }

    /**
     * Counts, blames and releases by what is known after crashes that concern these parts. A request is blamed before its
     * parts, so that the later blame of a part can explain its crashes although it is in none of the new ones.
     */
    private weighCrashes(concerned: readonly string[], now: number): Changes {
        const further = concerned.flatMap(part => this.countFurther(part, now));
        const blamed = this.evaluate(concerned, now);
        const requests = blamed.flatMap(({ part }) => this.evidence.crashesOf(part))
            .flatMap(crash => [...crash.parts])
            .filter(subject => subjectKindOf(subject) === "request");
        return [...further, ...blamed, ...this.releaseExplained([...new Set([...concerned, ...requests])], now)];
    }

    /** Returns whether the proof clears a crash of the part. */
    private addProof(part: string, at: number, source: "own" | "reported"): boolean {
        const crashedAt = this.crashes.withPart(part).at(-1)?.at ?? Number.NEGATIVE_INFINITY;
        const isCleared = crashedAt <= this.evidence.clearedAt(part);
        return this.proofs.record(part, at, source) && !isCleared;
    }

    /**
     * Blames those of the parts, and of the recent suspects, for which the evidence suffices. A suspect can come to be
     * blamed, or cease to be one, by what becomes known of another.
     */
    private evaluate(parts: readonly string[], now: number): Changes {
        this.evidence.refresh();
        const isRecent = (part: string): boolean =>
            now - (this.crashes.withPart(part).at(-1)?.at ?? now) < SUSPICION_MILLISECONDS;
        const suspects = [...new Set([...parts, ...this.suspected.filter(isRecent)])]
            .filter(part => this.crashes.withPart(part).length >= LEAST_CRASHES && !this.statements.isQuarantined(part))
            .map(part => this.evidence.suspectOf(part))
            .filter(({ crashes }) => crashes.length >= LEAST_CRASHES)
            .map(suspect => ({ ...suspect, ...this.evidence.weigh(suspect, now) }));
        this.suspected = suspects.filter(({ isBlamed }) => !isBlamed).map(({ part }) => part);
        return suspects.filter(({ isBlamed }) => isBlamed).map(({ part, crashes, wasProven, isAmbiguous }) =>
            this.statements.state({
                part,
                state: "quarantined",
                crashes: crashes.length,
                cause: "crashes",
                trials: 0,
                wasProven,
                isAmbiguous,
            }, now)
        );
    }

    /** States a quarantined part anew if it met further crashes. */
    private countFurther(part: string, now: number): Changes {
        const before = this.statements.find(part);
        if (before?.state !== "quarantined") {
            return [];
        }
        const counted = this.evidence.crashesOf(part);
        const { trialAt = Number.POSITIVE_INFINITY, statedAt } = before;
        const later = counted.filter(({ at }) => at > statedAt + PROOF_MARGIN_MILLISECONDS).length;
        const crashes = Math.max(counted.length, before.crashes + later);
        const hasFailed = before.cause === "trial-failed" || counted.some(({ at }) => at > trialAt);
        return crashes <= before.crashes ? [] : [
            this.statements.state(
                { ...before, crashes, cause: hasFailed ? "trial-failed" : "crashes", trialAt: undefined },
                now,
            ),
        ];
    }

    /** Releases a quarantined part if a stream of this daemon began well after the last crash. */
    private releaseIfProven(part: string, now: number): Changes {
        const before = this.statements.find(part);
        if (before?.state !== "quarantined") {
            return [];
        }
        return this.proofs.lastOwnAt(part) > this.crashedBefore(before)
            ? [this.stateReleased(before, "trial-passed", now)]
            : [];
    }

    /** Returns the time up to which a proof may be older than the last crash of a quarantined part. */
    private crashedBefore({ part, crashes, trialAt, statedAt }: PartStatement): number {
        const known = this.crashes.withPart(part);
        const last = known.at(-1)?.at;
        if (last !== undefined && known.length >= crashes) {
            return last + PROOF_MARGIN_MILLISECONDS;
        }
        // A trial is made after the last crash, and states the decision anew.
        return trialAt ?? statedAt + PROOF_MARGIN_MILLISECONDS;
    }

    /**
     * Releases parts that were blamed before it was known that another part accounts for all their crashes and for more.
     * Daemons that see the same crash report different candidates, which arrive one after another.
     */
    private releaseExplained(parts: readonly string[], now: number): Changes {
        return parts.flatMap(part => {
            const before = this.statements.find(part);
            return before?.state === "quarantined" && before.cause === "crashes" && before.trials === 0
                    && this.evidence.isExplained(before)
                ? [this.stateReleased(before, "crashes", now)]
                : [];
        });
    }

    private stateReleased(before: PartStatement, cause: PartStatement["cause"], now: number): PartStatement {
        return this.statements.state({ ...before, state: "released", cause, trialAt: undefined }, now);
    }

    /** Drops a crash; releases the parts that were blamed for it and have too few others. */
    private withdraw(crash: KnownCrash, now: number): Changes {
        const blamed = this.statements.quarantined().filter(({ part, crashes, cause }) =>
            cause === "crashes" && crash.parts.has(part) && this.evidence.crashesOf(part).length >= crashes
        );
        this.crashes.add({ ...crash, parts: [], withdrawn: true }, now);
        return blamed
            .filter(({ part }) => this.countCrashes(part) < LEAST_CRASHES)
            .map(statement => this.stateReleased(statement, "crashes", now));
    }

    private countCrashes(part: string): number {
        return countSpaced(this.evidence.crashesOf(part).map(({ at }) => at), boundsOf(part).crashSpacingMilliseconds);
    }

    private retryAfter(wait: number): number {
        this.refusals += 1;
        const least = Number.isFinite(wait) ? Math.max(wait, MINIMUM_RETRY_MILLISECONDS) : NO_TRIAL_RETRY_MILLISECONDS;
        return Math.ceil(least * (1 + RETRY_SPREAD * (this.refusals * GOLDEN_RATIO % 1)));
    }
}
