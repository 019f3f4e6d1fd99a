/** What crashes and proofs say about a part, as a function of the facts that all daemons merge. */
import type { BlameTest } from "./blame.js";
import { OTHER_CRASHES_MILLISECONDS, PROOF_MARGIN_MILLISECONDS, PROOF_RETENTION_MILLISECONDS } from "./constants.js";
import type { Crashes, KnownCrash } from "./crashes.js";
import type { Proofs } from "./proofs.js";
import type { Statements } from "./statements.js";
import { subjectKindOf } from "./subjects.js";
import type { PartStatement } from "./types.js";

/** Part that is not quarantined, with the crashes for which nothing else accounts. */
export interface Suspect {
    readonly part: string;
    readonly crashes: readonly KnownCrash[];
    readonly wasProven: boolean;
}

/** Whether a suspect is to be blamed by what is known. */
export interface Verdict {
    readonly isBlamed: boolean;
    readonly isAmbiguous: boolean;
}

/** Weighs the known facts; changes none. */
export class Evidence {
    /** Suspects that were computed since the last change. */
    private readonly suspects = new Map<string, Suspect>();

    constructor(
        private readonly crashes: Crashes,
        private readonly proofs: Proofs,
        private readonly statements: Statements,
        private readonly test: BlameTest,
    ) {}

    /** Returns the time up to which crashes say nothing about a part. */
    clearedAt(part: string): number {
        const statement = this.statements.find(part);
        const releasedAt = statement?.state === "released" ? statement.statedAt : Number.NEGATIVE_INFINITY;
        return Math.max(releasedAt, this.proofs.lastAt(part) - PROOF_MARGIN_MILLISECONDS);
    }

    /** Returns the crashes since the part was cleared, whatever else can account for them. */
    crashesOf(part: string): readonly KnownCrash[] {
        const cleared = this.clearedAt(part);
        return this.crashes.withPart(part).filter(({ at }) => at > cleared);
    }

    suspectOf(part: string): Suspect {
        const crashes = this.crashesOf(part).filter(crash => !this.isCausedByOther(crash, part));
        const first = crashes[0]?.at ?? 0;
        return { part, crashes, wasProven: first - this.proofs.lastAt(part) < PROOF_RETENTION_MILLISECONDS };
    }

    /** Forgets what was computed; to be called when facts or decisions have changed. */
    refresh(): void {
        this.suspects.clear();
    }

    /** Weighs the crashes of a suspect against those of other parts. */
    weigh(suspect: Suspect, now: number): Verdict {
        const rivals = this.rivalsOf(suspect);
        const isAmbiguous = rivals.some(rival => !isBlamedBefore(suspect, rival));
        const isBlamed = !rivals.some(rival => isBlamedBefore(rival, suspect)) && this.test({
            kind: subjectKindOf(suspect.part),
            crashTimes: suspect.crashes.map(({ at }) => at),
            otherCrashes: this.countOthers(suspect),
            wasProven: suspect.wasProven,
            isAmbiguous,
            now,
        });
        return { isBlamed, isAmbiguous };
    }

    /** Whether another quarantined part accounts for all crashes of a quarantined part and for more. */
    isExplained({ part, crashes: count }: PartStatement): boolean {
        const crashes = this.crashesOf(part);
        return crashes.length >= count
            && this.statements.quarantined().some(({ part: other }) =>
                other !== part && this.crashesOf(other).length > crashes.length
                && crashes.every(crash => crash.parts.has(other))
            );
    }

    /** Whether another quarantined part, with no fewer crashes than `part`, accounts for the crash. */
    private isCausedByOther(crash: KnownCrash, part: string): boolean {
        const others = this.statements.hasQuarantined()
            ? [...crash.parts].filter(other => other !== part && this.statements.isQuarantined(other))
                .filter(other => crash.at > this.clearedAt(other))
            : [];
        const isCandidate = crash.parts.has(part);
        return others.some(other => !isCandidate || this.crashesOf(other).length >= this.crashesOf(part).length);
    }

    private suspectOnce(part: string): Suspect {
        const suspect = this.suspects.get(part) ?? this.suspectOf(part);
        this.suspects.set(part, suspect);
        return suspect;
    }

    private countOthers({ part, crashes }: Suspect): number {
        const from = (crashes.at(-1)?.at ?? 0) - OTHER_CRASHES_MILLISECONDS;
        return this.crashes.all()
            .filter(crash => crash.at > from && !crash.parts.has(part) && !this.isCausedByOther(crash, part))
            .length;
    }

    /** Returns the parts that can account for all crashes of the suspect, and perhaps for more. */
    private rivalsOf({ part, crashes: [first, ...others] }: Suspect): readonly Suspect[] {
        return [...first?.parts ?? []]
            .filter(other => other !== part && others.every(crash => crash.parts.has(other)))
            .filter(other => this.crashes.withPart(other).length > others.length)
            .map(other => this.suspectOnce(other))
            .filter(rival => rival.crashes.length > others.length);
    }
}

/**
 * Of subjects with the same crashes, one that was never sound is the likelier cause. If that doesn't decide, one
 * request goes before a part of it, because its blame concerns fewer callers.
 */
function isBlamedBefore(left: Suspect, right: Suspect): boolean {
    if (left.crashes.length !== right.crashes.length) {
        return left.crashes.length > right.crashes.length;
    }
    return left.wasProven === right.wasProven
        ? subjectKindOf(left.part) === "request" && subjectKindOf(right.part) === "part"
        : right.wasProven;
}
