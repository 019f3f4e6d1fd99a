/** What crashes and proofs say about a part, as a function of the facts that all daemons merge. */
import type { BlameTest } from "./blame.js";
import { OTHER_CRASHES_MILLISECONDS, PROOF_MARGIN_MILLISECONDS, PROOF_RETENTION_MILLISECONDS } from "./constants.js";
import type { Crashes, KnownCrash } from "./crashes.js";
import type { Proofs } from "./proofs.js";
import type { Statements } from "./statements.js";

/** Part that is not quarantined, with the crashes for which nothing else accounts. */
export interface Suspect {
    readonly part: string;
    readonly crashes: readonly KnownCrash[];
    readonly wasProven: boolean;
}

/** Weighs the known facts; changes none. */
export class Evidence {
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
        const crashes = this.crashesOf(part).filter(crash => !this.isExplained(crash, part));
        const first = crashes[0]?.at ?? 0;
        return { part, crashes, wasProven: first - this.proofs.lastAt(part) < PROOF_RETENTION_MILLISECONDS };
    }

    /** Returns when the suspect is to be blamed by what is known, or infinity. */
    blameAt(suspect: Suspect, now: number): number {
        const rivals = this.rivalsOf(suspect);
        const isPreceded = rivals.some(({ wasProven, crashes }) =>
            wasProven !== suspect.wasProven || crashes.length > suspect.crashes.length
        );
        return isPreceded ? Number.POSITIVE_INFINITY : this.test({
            crashTimes: suspect.crashes.map(({ at }) => at),
            otherCrashes: this.countOthers(suspect),
            wasProven: suspect.wasProven,
            isAmbiguous: rivals.length > 0,
            now,
        });
    }

    /** Whether a quarantined part other than `part` accounts for the crash. */
    private isExplained(crash: KnownCrash, part: string): boolean {
        return this.statements.quarantined().some(({ part: other }) =>
            other !== part && crash.parts.has(other) && crash.at > this.clearedAt(other)
        );
    }

    private countOthers({ part, crashes }: Suspect): number {
        const from = (crashes.at(-1)?.at ?? 0) - OTHER_CRASHES_MILLISECONDS;
        return this.crashes.all()
            .filter(crash => crash.at > from && !crash.parts.has(part) && !this.isExplained(crash, part))
            .length;
    }

    /**
     * Returns the parts that can account for all crashes of the suspect. A part that was sound before is no rival of one
     * that was not, because requests with both are more likely to crash by the other.
     */
    private rivalsOf({ part, crashes: [first, ...others], wasProven }: Suspect): readonly Suspect[] {
        return [...first?.parts ?? []]
            .filter(other => other !== part && others.every(crash => crash.parts.has(other)))
            .map(other => this.suspectOf(other))
            .filter(rival => rival.crashes.length > others.length && (wasProven || !rival.wasProven));
    }
}
