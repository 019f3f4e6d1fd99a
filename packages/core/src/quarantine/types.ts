/**
 * Types of the quarantine of prompt parts that crash the processes of targets. Times are monotonic milliseconds of this
 * daemon; between daemons, ages travel.
 */

/** A process of a target that ended while requests of this daemon waited there. */
export interface CrashObservation {
    readonly target: string;
    /** Start of the process in Unix milliseconds, if known. One process can crash only once, whoever reports it. */
    readonly startedAt?: number;
    /** Shared parts (never the last) of the requests that were not proven. */
    readonly parts: readonly string[];
}

/** Crash that this daemon saw or received. */
export interface ReportedCrash extends CrashObservation {
    readonly at: number;
    /** The process turned out to be alive. Such a crash stays known, so that no daemon reports it anew. */
    readonly withdrawn?: boolean;
}

/** What to do with a request. */
export type PartVerdict =
    | { readonly kind: "allowed"; }
    /** This request is the one that tries the part again. */
    | { readonly kind: "trial"; readonly part: string; }
    | { readonly kind: "refused"; readonly part: string; readonly retryAfterMilliseconds: number; };

/** Decision about one part, with the counts that led to it. */
export interface PartStatement {
    readonly part: string;
    /**
     * Number of decisions about this part that preceded this one, as known where it was made. It orders decisions where
     * times can't, because a message that was delayed makes what it reports look newer.
     */
    readonly revision: number;
    readonly state: "quarantined" | "released";
    readonly statedAt: number;
    /** Distinct processes that crashed with the part among their unproven requests. */
    readonly crashes: number;
    readonly cause: "crashes" | "trial-failed" | "trial-passed" | "operator";
    /** Number of trials that began since the part was quarantined. */
    readonly trials: number;
    /** When the last trial began. */
    readonly trialAt?: number;
    /** Whether the part was proven some time before it was blamed. */
    readonly wasProven: boolean;
    /** Whether other parts were candidates in the same crashes. Such a part is tried again soon. */
    readonly isAmbiguous: boolean;
}

/** What daemons report to each other; bounded. */
export interface QuarantineReport {
    readonly crashes: readonly ReportedCrash[];
    /** Parts that occur in a known crash, with the first event of the last stream that proved each here. */
    readonly proven: readonly { readonly part: string; readonly at: number; }[];
    readonly statements: readonly PartStatement[];
}

/** Decides which parts are refused. A decision that time makes due is returned with the next ones. */
export interface PartQuarantine {
    /**
     * Records that a stream with these shared parts went on well for half a second after its first event, or ended whole
     * before. To be called once for each stream: a stream that ends later proves nothing new. `firstEventAt` is when its
     * first event came, half a second ago if it is absent; crashes after that are not cleared.
     */
    recordProven(parts: readonly string[], now: number, firstEventAt?: number): readonly PartStatement[];
    recordCrash(crash: CrashObservation, now: number): readonly PartStatement[];
    /** Drops the crash of a process that has answered again. */
    withdrawCrash(target: string, startedAt: number | undefined, now: number): readonly PartStatement[];
    /**
     * Decides about a request. `mayTry` returns whether this daemon is among the first `daemons` in the order in which they
     * may try the part again.
     */
    check(parts: readonly string[], mayTry: (part: string, daemons: number) => boolean, now: number): PartVerdict;
    /** Releases a part for an operator; returns `undefined` if it is not quarantined. */
    release(part: string, now: number): PartStatement | undefined;
    report(now: number): QuarantineReport;
    /** Merges what another daemon knows; returns the decisions that changed here. */
    merge(report: QuarantineReport, now: number): readonly PartStatement[];
    quarantined(): readonly PartStatement[];
}
