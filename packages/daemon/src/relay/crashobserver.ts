/**
 * Recognizes that a target crashed by the connections that it lost, and names the subjects of the requests that it had: the
 * parts of their prompts and the requests themselves.
 *
 * A request counts as proven when its response ended whole, or its stream went on for a while after its first event: what
 * crashes a target does so as soon as the target begins to answer.
 */
import type { CrashObservation, Target } from "@damaskvale/core";
import type { Clock } from "../ports/clock.js";

/** The process of a target. */
export type TargetProcess = Pick<Target, "id" | "startedAt">;

/** An attempt at a target. */
export interface ObservedAttempt {
    /** Records that the request is written to the target. */
    sent(): void;
    /** Records the head of a response that is not a stream, which shows that the process lives. */
    answered(): void;
    /** Records events of the stream. */
    progressed(): void;
    /** Records that the stream is not read for a while, so that its next events may be old. */
    paused(): void;
    /** Records that the response ended whole. */
    completed(): void;
    /** Records that the target reset, closed or refused the connection. */
    connectionLost(): void;
    /** Ends the observation without a conclusion. */
    dropped(): void;
}

/** Observer of all attempts of this daemon. */
export interface CrashObserver {
    observe(target: TargetProcess, subjects: readonly string[]): ObservedAttempt;
}

/** Collaborators of the observer. */
export interface CrashObserverParts {
    readonly clock: Clock;
    /** Called with the subjects of a request that is proven, and when its response began. */
    readonly onProven: (subjects: readonly string[], startedAt: number) => void;
    /**
     * Called when a target crashed, and again if more subjects turn out to have been in use. A crash without any counts
     * too, because it shows that crashes have other causes.
     */
    readonly onCrash: (crash: CrashObservation) => void;
    /** Called when a process that seemed to have crashed answers. */
    readonly onAlive: (target: TargetProcess) => void;
}

interface TrackedAttempt {
    readonly startedAt?: number;
    readonly subjects: readonly string[];
    readonly observedAt: number;
    isSent: boolean;
    wasPaused: boolean;
    firstEventAt?: number;
}

interface RecordedCrash {
    readonly startedAt?: number;
    readonly at: number;
    readonly subjects: ReadonlySet<string>;
}

/** Time after its first event from which a stream counts as proven. */
const PROVEN_MILLISECONDS = 500;
/** Events that a target wrote before it crashed may be read this long after the loss of a connection. */
const LATE_EVENTS_MILLISECONDS = 300;
/** A crash of a target whose start is unknown is another one after this time. */
const SAME_CRASH_MILLISECONDS = 1_500;
/** Crashes are kept this long, in which a process that is alive sends events. */
const CRASH_RETENTION_MILLISECONDS = 60_000;

/** Creates an observer. */
export function createCrashObserver(parts: CrashObserverParts): CrashObserver {
    return new CrashObserverTask(parts);
}

class CrashObserverTask implements CrashObserver {
    /** Attempts that are not proven, by target. */
    private readonly unproven = new Map<string, Set<TrackedAttempt>>();
    /** Last crash by target. */
    private readonly crashes = new Map<string, RecordedCrash>();

    constructor(private readonly parts: CrashObserverParts) {}

    observe(target: TargetProcess, subjects: readonly string[]): ObservedAttempt {
        const attempt: TrackedAttempt = {
            startedAt: target.startedAt,
            subjects,
            observedAt: this.parts.clock.monotonic(),
            isSent: false,
            wasPaused: false,
        };
        const attempts = this.unproven.get(target.id) ?? new Set();
        this.unproven.set(target.id, attempts.add(attempt));
        return {
            sent: () => {
                attempt.isSent = true;
            },
            answered: () => this.answered(target, attempt),
            progressed: () => this.progressed(target, attempt),
            paused: () => {
                attempt.wasPaused = true;
            },
            completed: () => {
                if (this.remove(target.id, attempt)) {
                    this.prove(attempt);
                }
            },
            connectionLost: () => {
                this.recordCrash(target, attempt);
                this.remove(target.id, attempt);
            },
            dropped: () => void this.remove(target.id, attempt),
        };
    }

    private answered(target: TargetProcess, attempt: TrackedAttempt): void {
        const now = this.parts.clock.monotonic();
        if (this.isAlive(target, attempt, now)) {
            this.crashes.delete(target.id);
            this.parts.onAlive(target);
        }
        attempt.firstEventAt ??= now;
    }

    private progressed(target: TargetProcess, attempt: TrackedAttempt): void {
        this.answered(target, attempt);
        const firstEventAt = attempt.firstEventAt ?? Number.POSITIVE_INFINITY;
        if (this.parts.clock.monotonic() - firstEventAt >= PROVEN_MILLISECONDS && this.remove(target.id, attempt)) {
            this.prove(attempt);
        }
    }

    /** Returns whether events of an attempt show that the process that seemed to have crashed is alive. */
    private isAlive(
        { id, startedAt }: TargetProcess,
        { observedAt, wasPaused }: TrackedAttempt,
        now: number,
    ): boolean {
        const crash = this.crashes.get(id);
        return crash !== undefined && !wasPaused && crash.startedAt === startedAt
            && now - crash.at > LATE_EVENTS_MILLISECONDS
            && (startedAt !== undefined || observedAt < crash.at);
    }

    private prove({ subjects, firstEventAt }: TrackedAttempt): void {
        if (subjects.length > 0 && firstEventAt !== undefined) {
            this.parts.onProven(subjects, firstEventAt);
        }
    }

    /**
     * Records a crash unless it is known with all subjects that were in use by requests that the target had. A connection
     * that was refused while the target had none says nothing of when the process ended.
     */
    private recordCrash({ id, startedAt }: TargetProcess, { isSent }: TrackedAttempt): void {
        const now = this.parts.clock.monotonic();
        const waiting = [...this.unproven.get(id) ?? []]
            .filter(attempt => attempt.isSent && attempt.startedAt === startedAt);
        const inUse = waiting.flatMap(({ subjects }) => subjects);
        const known = this.crashes.get(id);
        const isSameCrash = known !== undefined && known.startedAt === startedAt
            && (startedAt !== undefined || now - known.at < SAME_CRASH_MILLISECONDS);
        const seen = isSameCrash ? known.subjects : new Set<string>();
        const wasInUse = isSent || waiting.length > 0;
        if (!wasInUse || isSameCrash && inUse.every(subject => seen.has(subject))) {
            return;
        }
        const subjects = new Set([...seen, ...inUse]);
        this.prune(now);
        this.crashes.set(id, { startedAt, at: isSameCrash ? known.at : now, subjects });
        this.parts.onCrash({ target: id, startedAt, parts: [...subjects] });
    }

    /** Returns whether the attempt was not proven until now. */
    private remove(target: string, attempt: TrackedAttempt): boolean {
        const attempts = this.unproven.get(target);
        const wasUnproven = attempts?.delete(attempt) === true;
        if (attempts?.size === 0) {
            this.unproven.delete(target);
        }
        return wasUnproven;
    }

    private prune(now: number): void {
        [...this.crashes].filter(([, { at }]) => now - at > CRASH_RETENTION_MILLISECONDS)
            .forEach(([target]) => this.crashes.delete(target));
    }
}
